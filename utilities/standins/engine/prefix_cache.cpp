#include "prefix_cache.hpp"

#include <almondcart/core/hash.hpp>

#include <string>

namespace almondcart {

prefix_cache::prefix_cache(std::size_t capacity, duration event_delay, std::uint64_t gap_every)
    : capacity_(capacity)
    , event_delay_(event_delay)
    , gap_every_(gap_every)
{}

std::size_t prefix_cache::use(std::vector<std::string_view> const& words, instant now)
{
    std::size_t cached_blocks = 0;
    bool is_hit = true;
    std::uint64_t prefix = 0;
    for (std::size_t i = 0; i + block_tokens <= words.size(); i += block_tokens)
    {
        for (std::size_t j = i; j < i + block_tokens; ++j)
            prefix = hash64(words[j], prefix);
        auto const it = blocks_.find(prefix);
        is_hit = is_hit && it != blocks_.end();
        cached_blocks += is_hit ? 1 : 0;
        if (it != blocks_.end())
        {
            recent_.splice(recent_.begin(), recent_, it->second);
            continue;
        }
        recent_.push_front(prefix);
        blocks_[prefix] = recent_.begin();
        record(true, prefix, now);
        if (blocks_.size() > capacity_)
        {
            record(false, recent_.back(), now);
            blocks_.erase(recent_.back());
            recent_.pop_back();
        }
    }
    return cached_blocks * block_tokens;
}

void prefix_cache::clear()
{
    recent_.clear();
    blocks_.clear();
}

void prefix_cache::record(bool is_stored, std::uint64_t prefix, instant now)
{
    auto const sequence = next_sequence_++;
    if (gap_every_ != 0 && sequence % gap_every_ == 0)
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
    for (auto const& it : events_)
    {
        if (it.sequence <= sequence || it.visible_at > now)
            continue;
        Json::Value item;
        item["sequence"] = static_cast<Json::UInt64>(it.sequence);
        item["kind"] = it.is_stored ? "stored" : "evicted";
        item["prefix"] = std::to_string(it.prefix);
        response["events"].append(item);
        next = it.sequence;
    }
    response["next"] = static_cast<Json::UInt64>(next);
    return response;
}

} // namespace almondcart
