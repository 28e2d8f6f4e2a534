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
    std::string checkpoint; ///< id shared by all parts
    int part = 0;           ///< 0 to `parts` - 1
    int parts = 1;
    std::int64_t through_offset = -1; ///< last offset that the state includes
    std::string state;                ///< slice of the state's JSON text

    friend bool operator==(checkpoint_part const&, checkpoint_part const&) = default;
};

/// Folded state with the last offset that it includes.
struct checkpoint
{
    std::int64_t through_offset = -1;
    std::int64_t time_ms = 0; ///< log time of the part that completed it
    Json::Value state;
};

/// Value of the member `type` of the records of a checkpoint stream.
inline constexpr std::string_view checkpoint_record_type = "checkpoint";

/// Splits the JSON text of `state` between UTF-8 characters into parts of at most `part_bytes`
/// bytes of text. `part_bytes` must be at least 4, the size of the longest character.
std::vector<checkpoint_part> split_checkpoint(
    std::string const& id,
    std::int64_t through_offset,
    Json::Value const& state,
    std::size_t part_bytes);

Json::Value to_json(checkpoint_part const& part);

/// Reads a record of a checkpoint stream. Errors carry `malformed_request`.
absl::StatusOr<checkpoint_part> parse_checkpoint_part(Json::Value const& value);

/// Collects the parts of a checkpoint stream, in any order and with repeats, and keeps the newest
/// complete checkpoint. Keeps at most `incomplete_limit` incomplete checkpoints, all newer than the
/// complete one.
class checkpoint_collector
{
public:
    static constexpr std::size_t incomplete_limit = 16;

    /// Adds a part with log time `time_ms`. Discards the checkpoint if the part contradicts an
    /// earlier one, or if the completed text is not JSON.
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
