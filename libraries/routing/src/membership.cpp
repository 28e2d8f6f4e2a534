#include <almondcart/core/hash.hpp>
#include <almondcart/routing/membership.hpp>

#include <algorithm>
#include <utility>

namespace almondcart {

namespace {

/// Superseded incarnations remembered per name. Late heartbeats arrive within seconds, and a
/// process is not replaced more often than this in that time.
constexpr std::size_t superseded_limit = 8;

/// Sets `current` to the reported incarnation. Returns false if that one is already superseded.
bool accept_incarnation(
    process_id& current,
    process_id const& reported,
    std::deque<std::string>& superseded)
{
    if (current.incarnation == reported.incarnation)
        return true;
    if (std::find(superseded.begin(), superseded.end(), reported.incarnation) != superseded.end())
        return false;
    if (!current.incarnation.empty())
        superseded.push_back(current.incarnation);
    if (superseded.size() > superseded_limit)
        superseded.pop_front();
    current = reported;
    return true;
}

} // namespace

std::string_view name_of(upstream_state state)
{
    switch (state)
    {
    case upstream_state::usable:
        return "usable";
    case upstream_state::unknown:
        return "unknown";
    case upstream_state::agent_leaving:
        return "agent_leaving";
    case upstream_state::vm_leaving:
        return "vm_leaving";
    case upstream_state::heartbeats_missed:
        return "heartbeats_missed";
    }
    return "unknown";
}

membership::membership(
    process_id self,
    clock_function clock,
    membership_hooks hooks,
    membership_settings settings)
    : self_(std::move(self))
    , clock_(std::move(clock))
    , hooks_(std::move(hooks))
    , settings_(settings)
{}

bool membership::apply(agent_presence const& presence)
{
    auto& entry = upstreams_[presence.upstream];
    auto const previous = entry.member.agent;
    if (!accept_incarnation(entry.member.agent, presence.agent, entry.superseded))
        return false;
    if (previous != entry.member.agent)
        entry.is_leaving = false;
    entry.member.address = presence.address;
    entry.member.last_heartbeat = observed_now();
    entry.is_leaving = entry.is_leaving || presence.is_leaving;
    notify_if_changed(presence.upstream, entry);
    return true;
}

void membership::apply(std::vector<vm_entry> const& list)
{
    vm_leaving_.clear();
    for (auto const& it : list)
        vm_leaving_[it.address] = it.is_leaving;
    for (auto& [name, entry] : upstreams_)
        notify_if_changed(name, entry);
}

bool membership::apply(peer_presence const& presence)
{
    if (presence.router.name == self_.name)
        return presence.router == self_;
    auto& entry = peers_[presence.router.name];
    auto const previous = entry.router;
    if (!accept_incarnation(entry.router, presence.router, entry.superseded))
        return false;
    bool const is_replaced = !previous.name.empty() && previous != entry.router;
    if (is_replaced && !entry.is_suspected && hooks_.peer_suspected)
        hooks_.peer_suspected(previous);
    entry.address = presence.address;
    entry.last_heartbeat = observed_now();
    entry.is_leaving = presence.is_leaving;
    entry.is_suspected = false;
    return true;
}

instant membership::observed_now() const
{
    auto const now = clock_();
    if (!last_tick_)
        return now - paused_;
    return std::min(now, *last_tick_ + settings_.tick_gap_limit) - paused_;
}

void membership::tick()
{
    auto const now = clock_();
    if (last_tick_)
        paused_ += std::max(duration(0), now - *last_tick_ - settings_.tick_gap_limit);
    last_tick_ = now;
    for (auto& [name, entry] : upstreams_)
        notify_if_changed(name, entry);
    for (auto& [name, entry] : peers_)
    {
        if (entry.is_suspected || is_alive(entry))
            continue;
        entry.is_suspected = true;
        if (hooks_.peer_suspected)
            hooks_.peer_suspected(entry.router);
    }
}

upstream_state membership::current_state(upstream_entry const& entry) const
{
    if (entry.is_leaving)
        return upstream_state::agent_leaving;
    auto const vm = vm_leaving_.find(entry.member.address);
    if (vm != vm_leaving_.end() && vm->second)
        return upstream_state::vm_leaving;
    if (observed_now() - entry.member.last_heartbeat > settings_.upstream_timeout)
        return upstream_state::heartbeats_missed;
    return upstream_state::usable;
}

void membership::notify_if_changed(std::string const& upstream, upstream_entry& entry)
{
    auto const state = current_state(entry);
    if (state == entry.notified_state)
        return;
    entry.notified_state = state;
    if (hooks_.upstream_changed)
        hooks_.upstream_changed(upstream, state);
}

bool membership::is_alive(peer_entry const& entry) const
{
    return observed_now() - entry.last_heartbeat <= settings_.peer_timeout;
}

upstream_state membership::state_of(std::string const& upstream) const
{
    auto const it = upstreams_.find(upstream);
    return it == upstreams_.end() ? upstream_state::unknown : current_state(it->second);
}

bool membership::is_usable(std::string const& upstream) const
{
    return state_of(upstream) == upstream_state::usable;
}

bool membership::is_reachable(std::string const& upstream) const
{
    auto const* it = find_upstream(upstream);
    return it != nullptr && observed_now() - it->last_heartbeat <= settings_.upstream_timeout;
}

upstream_member const* membership::find_upstream(std::string const& upstream) const
{
    auto const it = upstreams_.find(upstream);
    return it == upstreams_.end() ? nullptr : &it->second.member;
}

std::vector<std::string> membership::usable_upstreams() const
{
    std::vector<std::string> names;
    for (auto const& [name, entry] : upstreams_)
    {
        if (current_state(entry) == upstream_state::usable)
            names.push_back(name);
    }
    return names;
}

bool membership::is_live_peer(process_id const& router) const
{
    if (router == self_)
        return true;
    auto const it = peers_.find(router.name);
    return it != peers_.end() && it->second.router == router && is_alive(it->second);
}

std::vector<process_id> membership::live_peers() const
{
    std::vector<process_id> routers;
    for (auto const& [name, entry] : peers_)
    {
        if (is_alive(entry))
            routers.push_back(entry.router);
    }
    return routers;
}

std::string const* membership::find_peer_address(process_id const& router) const
{
    auto const it = peers_.find(router.name);
    if (it == peers_.end() || it->second.router != router)
        return nullptr;
    return &it->second.address;
}

std::vector<process_id> membership::rendezvous_order(std::string_view key) const
{
    auto routers = live_peers();
    routers.push_back(self_);
    auto const seed = hash64(key);
    auto const rank = [&](process_id const& it)
    {
        auto const peer = peers_.find(it.name);
        bool const is_leaving = peer != peers_.end() && peer->second.is_leaving;
        return std::pair(is_leaving ? 1 : 0, ~hash64(it.name, seed));
    };
    std::sort(
        routers.begin(),
        routers.end(),
        [&](auto const& left, auto const& right) { return rank(left) < rank(right); });
    return routers;
}

bool membership::is_primary_for(std::string_view key) const
{
    return rendezvous_order(key).front() == self_;
}

} // namespace almondcart
