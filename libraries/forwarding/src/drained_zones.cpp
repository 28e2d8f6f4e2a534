#include <almondcart/forwarding/drained_zones.hpp>

#include <utility>
#include <vector>

namespace almondcart::forwarding {

void drained_zones::apply(std::string const& zone, bool is_drained, std::int64_t offset)
{
    auto const it = zones_.find(zone);
    if (it != zones_.end() && offset <= it->second.offset)
        return;
    set(zone, is_drained, offset);
}

void drained_zones::replace_all(std::map<std::string, std::int64_t> const& zones, std::int64_t end)
{
    std::vector<std::string> ended;
    for (auto const& [zone, state] : zones_)
    {
        if (!zones.contains(zone))
            ended.push_back(zone);
    }
    // Drains begin before others end, so that no zone is open in between.
    for (auto const& [zone, offset] : zones)
        set(zone, true, offset);
    for (auto const& zone : ended)
    {
        set(zone, false, end);
        zones_.erase(zone);
    }
}

void drained_zones::set(std::string const& zone, bool is_drained, std::int64_t offset)
{
    auto& state = zones_[zone];
    state.offset = offset;
    if (std::exchange(state.is_drained, is_drained) == is_drained)
        return;
    drained_count_ = is_drained ? drained_count_ + 1 : drained_count_ - 1;
    if (on_change_)
        on_change_({zone, is_drained, offset});
}

bool drained_zones::contains(std::string_view zone) const
{
    if (drained_count_ == 0)
        return false;
    auto const it = zones_.find(zone);
    return it != zones_.end() && it->second.is_drained;
}

} // namespace almondcart::forwarding
