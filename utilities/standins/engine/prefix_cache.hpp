#pragma once

#include <almondcart/core/instant.hpp>

#include <json/json.h>

#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <string_view>
#include <vector>

namespace almondcart {

/// Least-recently-used cache of prompt prefixes in blocks of `block_tokens` words, with a list of
/// events that becomes visible late and has gaps.
class prefix_cache
{
public:
    static constexpr std::size_t block_tokens = 16;
    static constexpr std::size_t event_limit = 4096; ///< older events are dropped

    prefix_cache(std::size_t capacity, duration event_delay, std::uint64_t gap_every);

    /// Tokens of the prompt that are in the cache; the whole prompt is in the cache afterwards.
    std::size_t use(std::vector<std::string_view> const& words, instant now);

    void clear();

    /// `{"events":[{"sequence","kind":"stored|evicted","prefix"}],"next":n}`.
    Json::Value events_after(std::uint64_t sequence, instant now) const;

private:
    struct cache_event
    {
        std::uint64_t sequence;
        bool is_stored;
        std::uint64_t prefix;
        instant visible_at;
    };

    void record(bool is_stored, std::uint64_t prefix, instant now);

    std::size_t capacity_;
    duration event_delay_;
    std::uint64_t gap_every_;
    std::list<std::uint64_t> recent_; ///< most recently used first
    std::map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
    std::deque<cache_event> events_;
    std::uint64_t next_sequence_ = 1;
};

} // namespace almondcart
