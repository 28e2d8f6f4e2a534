#include "prefix_cache.hpp"

#include <almondcart/core/hash.hpp>

#include <string>

namespace almondcart {

prefix_cache::prefix_cache(std::size_t capacity, duration event_delay, std::uint64_t gap_interval)
    : capacity_(capacity)
    , event_delay_(event_delay)
    , gap_interval_(gap_interval)
{}

std::size_t prefix_cache::match_and_insert(std::vector<std::string_view> const& words, instant now)
{
    std::size_t cached_blocks = 0;
    bool is_prefix_cached = true;
    std::uint64_t prefix = 0;
    for (std::size_t i = 0; i + block_tokens <= words.size(); i += block_tokens)
    {
        for (std::size_t j = i; j < i + block_tokens; ++j)
            prefix = hash64(words[j], prefix);
        auto const it = blocks_.find(prefix);
        is_prefix_cached = is_prefix_cached && it != blocks_.end();
        cached_blocks += is_prefix_cached ? 1 : 0;
        if (it != blocks_.end())
        {
            lru_.splice(lru_.begin(), lru_, it->second);
            continue;
        }
        lru_.push_front(prefix);
        blocks_[prefix] = lru_.begin();
        emit_event(true, prefix, now);
        if (blocks_.size() > capacity_)
        {
            emit_event(false, lru_.back(), now);
            blocks_.erase(lru_.back());
            lru_.pop_back();
        }
    }
    return cached_blocks * block_tokens;
}

void prefix_cache::clear()
{
    lru_.clear();
    blocks_.clear();
}

void prefix_cache::emit_event(bool is_stored, std::uint64_t prefix, instant now)
{
    auto const sequence = next_sequence_++;
    if (gap_interval_ != 0 && sequence % gap_interval_ == 0)
        return;
    events_.push_back({sequence, is_stored, prefix, now + event_delay_});
    if (events_.size() > event_limit)
        events_.pop_front();
}

Json::Value prefix_cache::events_after(std::uint64_t sequence, instant now) const
{
    Json::Value response;
    response["events"] = Json::Value(Json::arrayValue);
    std::uint64_t next = sequence;
    for (auto const& event : events_)
    {
        if (event.sequence <= sequence || event.visible_at > now)
            continue;
        Json::Value item;
        item["sequence"] = static_cast<Json::UInt64>(event.sequence);
        item["kind"] = event.is_stored ? "stored" : "evicted";
        item["prefix"] = std::to_string(event.prefix);
        response["events"].append(item);
        next = event.sequence;
    }
    response["next"] = static_cast<Json::UInt64>(next);
    return response;
}

} // namespace almondcart
