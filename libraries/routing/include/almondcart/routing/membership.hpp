#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/core/identifiers.hpp>

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondcart {

/// Part of an agent's heartbeat that decides whether its upstream is usable.
struct agent_presence
{
    process_id agent;
    std::string upstream;
    std::string address; ///< of the agent; also names its VM in the platform's list
    bool is_leaving = false;
};

/// Entry of the platform's VM list.
struct vm_entry
{
    std::string address;
    bool is_leaving = false;
};

/// Part of a router's heartbeat that decides whether it counts as a live peer.
struct peer_presence
{
    process_id router;
    std::string address;
    bool is_leaving = false;
};

/// Why an upstream receives no new work.
enum class upstream_state
{
    usable,
    unknown,           ///< no heartbeat has been seen
    agent_leaving,     ///< the agent reported that it leaves
    vm_leaving,        ///< the VM list says so
    heartbeats_missed, ///< no heartbeat for two periods
};

std::string_view name_of(upstream_state state);

/// Agent of an upstream as last seen.
struct upstream_member
{
    process_id agent;
    std::string address;
    instant last_heartbeat;
};

struct membership_settings
{
    duration upstream_timeout{2000}; ///< two missed heartbeats of one second
    duration peer_timeout{5000};     ///< silence after which a router is suspected dead
};

struct membership_hooks
{
    /// An upstream changed its state. Called from the function that noticed the change.
    std::function<void(std::string const& upstream, upstream_state)> upstream_changed;

    /// A peer was suspected dead, or was replaced by a newer incarnation of its name. Its grants
    /// are to be closed on the log.
    std::function<void(process_id const& router)> peer_suspected;
};

/// Upstreams and routers as one router sees them. Three sources report on an upstream: its agent's
/// heartbeats, the agent's own word that it leaves, and the platform's VM list. An upstream is
/// usable only while its heartbeats are fresh and no source says that it leaves.
class membership
{
public:
    membership(
        process_id self,
        clock_function clock,
        membership_hooks hooks,
        membership_settings settings = {});

    /// Takes an agent's heartbeat. Returns false for a heartbeat of a superseded incarnation, which
    /// is ignored. `is_leaving` stays in force for the rest of the incarnation.
    bool apply(agent_presence const& sighting);

    /// Replaces the VM list. VMs that are missing from it are not judged, because the list lags.
    void apply(std::vector<vm_entry> const& list);

    /// Takes a router's heartbeat; the same rules for incarnations apply.
    bool apply(peer_presence const& sighting);

    /// Notices missed heartbeats.
    void tick();

    upstream_state state_of(std::string const& upstream) const;
    bool is_usable(std::string const& upstream) const;
    /// Whether the agent's heartbeats are fresh, even if it or its VM is leaving.
    bool is_reachable(std::string const& upstream) const;

    upstream_member const* find_upstream(std::string const& upstream) const;
    std::vector<std::string> usable_upstreams() const;

    /// Whether this incarnation of a router is live. True for this router.
    bool is_live_peer(process_id const& router) const;

    /// Live routers without this one, in order of name. Leaving routers count while they are heard.
    std::vector<process_id> live_peers() const;
    std::string const* find_peer_address(process_id const& router) const;

    /// This router and its live peers in rendezvous order for `key`: the first one acts first.
    std::vector<process_id> rendezvous_order(std::string_view key) const;

    /// Whether this router is the one that acts first for `key`. Leaving routers come last.
    bool is_primary_for(std::string_view key) const;

private:
    struct upstream_entry
    {
        upstream_member member;
        bool is_leaving = false;
        std::deque<std::string> superseded;
        upstream_state announced = upstream_state::unknown;
    };
    struct peer_entry
    {
        process_id router;
        std::string address;
        instant last_heartbeat;
        bool is_leaving = false;
        bool is_suspected = false;
        std::deque<std::string> superseded;
    };

    upstream_state judge(upstream_entry const& entry) const;
    void announce(std::string const& upstream, upstream_entry& entry);
    bool is_alive(peer_entry const& entry) const;

    process_id self_;
    clock_function clock_;
    membership_hooks hooks_;
    membership_settings settings_;
    std::map<std::string, upstream_entry> upstreams_;
    std::map<std::string, peer_entry> peers_;
    std::map<std::string, bool> vm_leaving_;
};

} // namespace almondcart
