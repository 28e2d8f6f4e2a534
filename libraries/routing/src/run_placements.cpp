#include <almondcart/routing/run_placements.hpp>

#include <algorithm>
#include <utility>

namespace almondcart {

run_placements::run_placements(clock_function clock, run_placement_settings settings)
    : clock_(std::move(clock))
    , settings_(settings)
{}

placement run_placements::place(placement_request const& request)
{
    auto& it = find_or_create(request.fingerprint);
    merge_crashes(it, request.crashes);
    if (it.is_blocked || it.crashes.size() >= 2 || it.upstreams.size() > 2)
        return {placement_state::refused, "", it.crashes};
    return it.crashes.empty() ? place_first(it, request) : place_suspect(it, request);
}

placement run_placements::place_first(entry& it, placement_request const& request)
{
    auto usable = std::find_if(
        it.upstreams.begin(),
        it.upstreams.end(),
        [&](auto const& upstream) { return !request.unusable.contains(upstream); });
    if (usable == it.upstreams.end())
    {
        // Without a crash, the binding only keeps copies together, so it may move to a usable
        // upstream.
        if (it.upstreams.size() >= 2)
            it.upstreams.clear();
        usable = it.upstreams.insert(it.upstreams.end(), request.proposed);
    }
    return {placement_state::placed, *usable, {}};
}

placement run_placements::place_suspect(entry& it, placement_request const& request)
{
    auto const& crashed = it.crashes.begin()->second;
    auto second = std::find_if(
        it.upstreams.begin(),
        it.upstreams.end(),
        [&](auto const& upstream) { return upstream != crashed; });
    if (second == it.upstreams.end() && request.proposed != crashed)
        second = it.upstreams.insert(it.upstreams.end(), request.proposed);
    if (second == it.upstreams.end() || request.unusable.contains(*second))
        return {placement_state::refused, "", it.crashes};
    return {placement_state::suspect, *second, it.crashes};
}

void run_placements::merge_crashes(entry& it, crash_set const& crashes)
{
    for (auto const& [id, upstream] : crashes)
    {
        if (it.cleared.contains(id))
            continue;
        it.crashes.emplace(id, upstream);
        if (std::find(it.upstreams.begin(), it.upstreams.end(), upstream) == it.upstreams.end())
            it.upstreams.push_back(upstream);
    }
}

run_placements::entry& run_placements::find_or_create(std::string const& fingerprint)
{
    auto found = entries_.find(fingerprint);
    if (found == entries_.end())
    {
        evict_if_full();
        found = entries_.emplace(fingerprint, entry{}).first;
    }
    found->second.last_use = clock_();
    return found->second;
}

void run_placements::add_crashes(std::string const& fingerprint, crash_set const& crashes)
{
    merge_crashes(find_or_create(fingerprint), crashes);
}

void run_placements::clear(std::string const& fingerprint)
{
    auto const it = entries_.find(fingerprint);
    if (it == entries_.end())
        return;
    for (auto const& [id, upstream] : it->second.crashes)
    {
        it->second.cleared.insert(id);
        std::erase(it->second.upstreams, upstream);
    }
    it->second.crashes.clear();
}

void run_placements::block(std::string const& fingerprint)
{
    find_or_create(fingerprint).is_blocked = true;
}

void run_placements::tick()
{
    auto const now = clock_();
    std::erase_if(
        entries_,
        [&](auto const& it)
        {
            bool const is_suspect = !it.second.crashes.empty() || it.second.is_blocked;
            auto const lifetime = is_suspect ? settings_.suspect_lifetime : settings_.idle_lifetime;
            return now - it.second.last_use > lifetime;
        });
}

void run_placements::evict_if_full()
{
    if (entries_.size() < settings_.capacity)
        return;
    auto const oldest = std::min_element(
        entries_.begin(),
        entries_.end(),
        [](auto const& left, auto const& right)
        {
            auto const rank = [](entry const& it)
            { return std::pair(!it.crashes.empty() || it.is_blocked, it.last_use); };
            return rank(left.second) < rank(right.second);
        });
    entries_.erase(oldest);
}

} // namespace almondcart
