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
    std::string address; ///< of the agent; also identifies its VM in the platform's list
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

/// Whether an upstream receives new work, and if not, why.
enum class upstream_state
{
    usable,
    unknown,           ///< no heartbeat has been seen
    agent_leaving,     ///< the agent reported that it is leaving
    vm_leaving,        ///< the VM list reports that the VM is leaving
    heartbeats_missed, ///< no heartbeat for two heartbeat intervals
};

std::string_view name_of(upstream_state state);

/// Agent of an upstream, from its latest heartbeat.
struct upstream_member
{
    process_id agent;
    std::string address;
    instant last_heartbeat; ///< on the clock that `membership` reads, without its own pauses
};

struct membership_settings
{
    duration upstream_timeout{2000}; ///< two missed heartbeats at an interval of one second
    duration peer_timeout{5000};     ///< time without a heartbeat until a router is suspected dead

    /// Longest time between two ticks in which heartbeats count as missed. If more has passed, this
    /// process did not run, and the heartbeats of that time are yet to be read.
    duration tick_gap_limit{500};
};

struct membership_hooks
{
    /// The state of an upstream changed. Called by the function that detects the change.
    std::function<void(std::string const& upstream, upstream_state)> upstream_changed;

    /// A peer is suspected dead, or was replaced by a newer incarnation of the same name. The
    /// receiver closes its grants on the log.
    std::function<void(process_id const& router)> peer_suspected;
};

/// Upstreams and routers known to one router. Three sources decide the state of an upstream: its
/// agent's heartbeats, the agent's leaving flag, and the platform's VM list. An upstream is usable
/// only while its heartbeats are recent and no source reports that it is leaving.
class membership
{
public:
    membership(
        process_id self,
        clock_function clock,
        membership_hooks hooks,
        membership_settings settings = {});

    /// Applies an agent's heartbeat. A heartbeat of a superseded incarnation is ignored and returns
    /// false. Once an incarnation has set `is_leaving`, it stays set.
    bool apply(agent_presence const& presence);

    /// Replaces the VM list. A VM that is missing from it is not treated as leaving, because the
    /// list lags behind.
    void apply(std::vector<vm_entry> const& list);

    /// Applies a router's heartbeat. The same rules for incarnations apply.
    bool apply(peer_presence const& presence);

    /// Detects missed heartbeats. Must be called periodically.
    void tick();

    upstream_state state_of(std::string const& upstream) const;
    bool is_usable(std::string const& upstream) const;
    /// Whether the agent's heartbeats are recent, even if the agent or its VM is leaving.
    bool is_reachable(std::string const& upstream) const;

    upstream_member const* find_upstream(std::string const& upstream) const;
    std::vector<std::string> usable_upstreams() const;

    /// Whether this incarnation of a router is live. True for this router.
    bool is_live_peer(process_id const& router) const;

    /// Live routers except this one, ordered by name. Leaving routers are included while they send
    /// heartbeats.
    std::vector<process_id> live_peers() const;
    std::string const* find_peer_address(process_id const& router) const;

    /// This router and its live peers in rendezvous order for `key`. The first one is the primary.
    std::vector<process_id> rendezvous_order(std::string_view key) const;

    /// Whether this router is the primary for `key`. Leaving routers rank last.
    bool is_primary_for(std::string_view key) const;

private:
    struct upstream_entry
    {
        upstream_member member;
        bool is_leaving = false;
        std::deque<std::string> superseded;
        upstream_state notified_state = upstream_state::unknown;
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

    /// Time of the clock without the pauses of this process.
    instant observed_now() const;
    upstream_state current_state(upstream_entry const& entry) const;
    void notify_if_changed(std::string const& upstream, upstream_entry& entry);
    bool is_alive(peer_entry const& entry) const;

    process_id self_;
    clock_function clock_;
    membership_hooks hooks_;
    membership_settings settings_;
    std::optional<instant> last_tick_;
    duration paused_{0}; ///< total of the pauses of this process
    std::map<std::string, upstream_entry> upstreams_;
    std::map<std::string, peer_entry> peers_;
    std::map<std::string, bool> vm_leaving_;
};

} // namespace almondcart
