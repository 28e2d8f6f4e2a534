#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/core/event_journal.hpp>
#include <almondcart/ledger/budget_shard_state.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondcart {

/// Agent's response to `close_grant`, after which it refuses work under the grant.
struct grant_report
{
    process_id agent;                 ///< incarnation that sent the report
    std::vector<usage_item> finished; ///< unacknowledged usage with parts under the grant
    int running = 0;                  ///< attempts running under the grant
};

struct grant_recovery_settings
{
    process_id self;
    duration takeover_delay{2000}; ///< after which routers other than the preferred one act too
    duration running_poll_interval{1000}; ///< between calls to an agent that still runs work
    duration initial_backoff{500}; ///< after the first failed call; doubles with each further one
    duration max_backoff{30'000};
    duration response_timeout{2000};
    duration usage_resubmit_interval{10'000}; ///< after which unbilled usage is submitted again
};

/// Closed grant whose unbilled tokens cannot be released yet.
struct grant_in_recovery
{
    grant_id grant;
    budget_id budget;
    process_id holder;
    token_count unbilled = 0;
    instant since{};
    std::vector<process_id> unreachable; ///< agents that have not reported
    std::vector<process_id> running;     ///< agents that still run work
    bool is_usage_unbilled = false;      ///< usage of finished work is not folded yet
};

/// Closes stranded own grants and the grants of dead holders. Recovers the unbilled tokens of a
/// closed grant after every agent that could have served it reported that no work runs under it and
/// the usage of its finished work is billed. Several routers may do this at the same time, because
/// records that lose a race have no effect on the state.
class grant_recovery
{
public:
    using report_callback = std::function<void(absl::StatusOr<grant_report>)>;

    struct hooks
    {
        clock_function now;
        std::function<std::int64_t(record_body)> submit;
        std::function<budget_shard_state const*(int)> shard_state;
        /// Live routers, excluding this one.
        std::function<std::vector<process_id>()> live_peers;
        /// Whether the holder sent no heartbeat for longer than the peer timeout.
        std::function<bool(process_id const&)> is_dead;
        /// `budget_holder::stranded_grants`.
        std::function<std::vector<grant_id>()> stranded_grants;
        /// Calls `close_grant` of an agent. Calls back at most once, possibly never.
        std::function<void(process_id const& agent, grant_id const&, report_callback)> close_grant;
        /// Records an event for the timeline. May be empty.
        std::function<void(event)> record_event;
    };

    grant_recovery(grant_recovery_settings settings, hooks hooks);

    void tick();

    /// Closed grants that are not recovered yet, with the agents that hold up each of them.
    std::vector<grant_in_recovery> pending_recoveries() const;

private:
    struct agent_progress
    {
        bool is_asking = false;
        instant asked_at{};
        instant next_at{};
        duration backoff{0};
        std::optional<grant_report> report;
        std::int64_t call = 0; ///< number of the newest call; responses to earlier ones are ignored
    };

    struct task
    {
        instant since{};
        std::map<process_id, agent_progress> agents;
        std::map<request_id, instant> usage_submitted_at;
        std::int64_t recover_sequence = -1;
    };

    void
    tick_shard(budget_shard_state const& state, std::set<grant_id> const& stranded, instant now);
    void close_when_allowed(grant_entry const& grant, std::string reason, instant now);
    void advance_recovery(grant_entry const& grant, budget_shard_state const& state, instant now);
    void request_report(
        process_id const& agent,
        grant_id const& grant,
        agent_progress& progress,
        instant now);
    void on_report(
        grant_id const& grant,
        process_id const& agent,
        std::int64_t call,
        absl::StatusOr<grant_report> const& response);
    bool submit_finished(task& it, agent_progress const&, budget_shard_state const&, instant now);
    void back_off(agent_progress& progress, instant now) const;
    bool is_preferred_router(grant_id const& grant) const;
    bool may_act(grant_id const& grant, instant since, instant now) const;
    void report_event(std::string name, grant_entry const& grant, std::string const& detail) const;

    grant_recovery_settings settings_;
    hooks hooks_;
    std::map<grant_id, instant> suspected_since_;
    std::map<grant_id, std::int64_t> close_sequences_;
    std::map<grant_id, task> tasks_;
    std::int64_t next_call_ = 1;
};

} // namespace almondcart
