#pragma once

#include <almondcart/core/identifiers.hpp>
#include <almondcart/core/json_reader.hpp>

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string_view>
#include <utility>

namespace almondcart {

/// Highest folded sequence per writer, to detect repeated appends. A writer's records reach a
/// stream in sequence order, so every sequence at or below the highest one is a repeat. That
/// includes an append whose response was lost and that takes effect after its retry.
class writer_sequences
{
public:
    /// Time without records after which a writer is removed, in milliseconds of log time.
    static constexpr std::int64_t idle_limit_ms = 86'400'000;

    /// Adds the record. Returns false if it is a repeat.
    bool insert(process_id const& writer, std::int64_t sequence, std::int64_t time_ms);

    bool contains(process_id const& writer, std::int64_t sequence) const;

    /// Removes idle writers for which `is_needed` returns false and calls `on_removed` for each.
    /// The others are kept for another interval.
    void remove_idle(
        std::int64_t time_ms,
        std::function<bool(process_id const&)> const& is_needed,
        std::function<void(process_id const&)> const& on_removed);

    std::size_t size() const { return writers_.size(); }

    Json::Value to_json() const;

    /// Reads the member `name`. Errors are set on the reader.
    void read(json_reader& reader, std::string_view name);

private:
    struct writer_entry
    {
        std::int64_t sequence = 0;
        std::int64_t time_ms = -1; ///< log time of the last record
    };

    void touch(process_id const& writer, writer_entry& entry, std::int64_t time_ms);

    std::map<process_id, writer_entry> writers_;
    std::set<std::pair<std::int64_t, process_id>> expiry_; ///< writers by log time
};

} // namespace almondcart
