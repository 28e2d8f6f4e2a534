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

/// LRU cache of prompt prefixes in blocks of `block_tokens` words. Its event feed is delayed and
/// drops events, so that readers meet stale and missing ones.
class prefix_cache
{
public:
    static constexpr std::size_t block_tokens = 16;
    static constexpr std::size_t event_limit = 4096; ///< older events are dropped

    prefix_cache(std::size_t capacity, duration event_delay, std::uint64_t gap_interval);

    /// Returns the number of leading prompt tokens found in the cache, and caches all whole blocks
    /// of the prompt.
    std::size_t match_and_insert(std::vector<std::string_view> const& words, instant now);

    void clear();

    /// Returns the visible events that follow `sequence`, as
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

    void emit_event(bool is_stored, std::uint64_t prefix, instant now);

    std::size_t capacity_;
    duration event_delay_;
    std::uint64_t gap_interval_;
    std::list<std::uint64_t> lru_; ///< most recently used first
    std::map<std::uint64_t, std::list<std::uint64_t>::iterator> blocks_;
    std::deque<cache_event> events_;
    std::uint64_t next_sequence_ = 1;
};

} // namespace almondcart
