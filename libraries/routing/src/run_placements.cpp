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
    for (auto const& crash : request.crashes)
    {
        if (!it.cleared.contains(crash))
            it.crashes.insert(crash);
    }
    auto const is_unusable = [&](std::string const& upstream)
    { return upstream.empty() || request.unusable.contains(upstream); };
    if (it.first.empty() && it.crashes.empty())
        it.first = request.proposed;
    // Without a crash the binding only keeps copies together, so it may follow the fleet.
    if (it.crashes.empty() && !it.second.empty() && is_unusable(it.first) && is_unusable(it.second))
    {
        it.first = request.proposed;
        it.second.clear();
    }
    return answer(it, request);
}

run_placements::entry& run_placements::find_or_create(std::string const& fingerprint)
{
    auto found = entries_.find(fingerprint);
    if (found == entries_.end())
    {
        make_room();
        found = entries_.emplace(fingerprint, entry{}).first;
    }
    found->second.last_use = clock_();
    return found->second;
}

void run_placements::add_crash(std::string const& fingerprint, std::string const& crash)
{
    auto& it = find_or_create(fingerprint);
    if (!it.cleared.contains(crash))
        it.crashes.insert(crash);
}

placement run_placements::answer(entry& it, placement_request const& request)
{
    if (it.is_blocked || it.crashes.size() >= 2)
        return {placement_state::refused, "", it.crashes};
    bool const needs_second = !it.crashes.empty() || request.unusable.contains(it.first);
    if (!needs_second)
        return {placement_state::placed, it.first, it.crashes};
    if (it.second.empty() && request.proposed != it.first)
        it.second = request.proposed;
    if (it.second.empty())
        return {placement_state::refused, "", it.crashes};
    if (it.crashes.empty())
        return {placement_state::placed, it.second, it.crashes};
    if (request.unusable.contains(it.second))
        return {placement_state::refused, it.second, it.crashes};
    return {placement_state::suspect, it.second, it.crashes};
}

void run_placements::clear(std::string const& fingerprint)
{
    auto const it = entries_.find(fingerprint);
    if (it == entries_.end())
        return;
    it->second.cleared.merge(it->second.crashes);
    it->second.crashes.clear();
    it->second.first = it->second.second;
    it->second.second.clear();
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

void run_placements::make_room()
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
