#pragma once

#include <absl/status/statusor.h>
#include <json/json.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondcart {

/// Part of a checkpoint, one record of a checkpoint stream.
struct checkpoint_part
{
    std::string checkpoint; ///< id that is equal in all parts
    int part = 0;           ///< 0 to `parts` - 1
    int parts = 1;
    std::int64_t through_offset = -1; ///< last offset of the stream that is folded in the state
    std::string state;                ///< slice of the state's JSON text

    friend bool operator==(checkpoint_part const&, checkpoint_part const&) = default;
};

/// State of a fold together with the offset up to which it was folded.
struct checkpoint
{
    std::int64_t through_offset = -1;
    std::int64_t time_ms = 0; ///< log time of the part that completed it
    Json::Value state;
};

/// Value of the member `type` of the records of a checkpoint stream.
inline constexpr std::string_view checkpoint_record_type = "checkpoint";

/// Cuts the JSON text of `state` into parts of at most `part_bytes` bytes of text, between UTF-8
/// characters. `part_bytes` must be at least 4, the length of the longest character.
std::vector<checkpoint_part> split_checkpoint(
    std::string const& id,
    std::int64_t through_offset,
    Json::Value const& state,
    std::size_t part_bytes);

Json::Value to_json(checkpoint_part const& part);

/// Reads a record of a checkpoint stream. Errors carry `malformed_request`.
absl::StatusOr<checkpoint_part> parse_checkpoint_part(Json::Value const& value);

/// Collects the parts of a checkpoint stream, in any order and with repeats, and keeps the newest
/// complete checkpoint. Incomplete checkpoints are kept only while they are newer than that, and
/// only `incomplete_limit` of them.
class checkpoint_collector
{
public:
    static constexpr std::size_t incomplete_limit = 16;

    /// Adds a part read at log time `time_ms`. A part that contradicts an earlier one of the same
    /// checkpoint, or that completes a text that is not JSON, discards that checkpoint.
    void add(checkpoint_part part, std::int64_t time_ms);

    /// Complete checkpoint with the highest `through_offset`, if there is one.
    std::optional<checkpoint> const& newest() const { return newest_; }

private:
    struct incomplete_checkpoint
    {
        int parts = 0;
        std::int64_t through_offset = -1;
        std::map<int, std::string> texts;
    };

    void complete(std::string const& id, std::int64_t time_ms);
    void remove_older();

    std::map<std::string, incomplete_checkpoint> incomplete_;
    std::optional<checkpoint> newest_;
};

} // namespace almondcart
