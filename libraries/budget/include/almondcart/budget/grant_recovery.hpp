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

/// What an agent answers to `close_grant`: from now on it refuses work under the grant.
struct grant_report
{
    process_id agent;                 ///< incarnation that answered
    std::vector<usage_item> finished; ///< not yet acknowledged, with parts under the grant
    int running = 0;                  ///< attempts running under the grant
};

struct grant_recovery_settings
{
    process_id self;
    duration takeover_delay{2000}; ///< another router acts if the first has not
    duration running_poll{1000};   ///< until an agent that still runs work is asked again
    duration first_backoff{500};   ///< after an agent did not respond; doubles
    duration longest_backoff{30'000};
    duration response_timeout{2000};
    duration usage_repeat{10'000}; ///< until usage that is still not billed is submitted again
};

/// Closed grant whose remainder cannot be released yet.
struct grant_in_recovery
{
    grant_id grant;
    budget_id budget;
    process_id holder;
    token_count unbilled = 0;
    instant since{};
    std::vector<process_id> unreachable; ///< agents that have not reported
    std::vector<process_id> running;     ///< agents where work still runs
    bool is_usage_unbilled = false;      ///< finished work whose usage the fold does not show
};

/// Closes the grants of dead holders and own stranded ones, and recovers the remainder of closed
/// grants after all agents that could have served them reported that nothing runs and their
/// finished usage is billed. Any number of routers may do this at once: the fold decides.
class grant_recovery
{
public:
    using report_callback = std::function<void(absl::StatusOr<grant_report>)>;

    struct hooks
    {
        clock_function now;
        std::function<std::int64_t(record_body)> submit;
        std::function<budget_shard_state const*(int)> shard_state;
        /// Live routers without this one.
        std::function<std::vector<process_id>()> live_peers;
        /// Whether the holder is known not to respond (no heartbeat for the dead time).
        std::function<bool(process_id const&)> is_dead;
        /// `budget_holder::stranded_grants`.
        std::function<std::vector<grant_id>()> stranded_grants;
        /// `close_grant` of an agent. Calls back at most once, possibly never.
        std::function<void(process_id const& agent, grant_id const&, report_callback)> close_grant;
        /// Event for the time line. May be empty.
        std::function<void(event)> record_event;
    };

    grant_recovery(grant_recovery_settings settings, hooks hooks);

    void tick();

    /// Closed grants that wait, and for whom.
    std::vector<grant_in_recovery> pending_recoveries() const;

private:
    struct agent_progress
    {
        bool is_asking = false;
        instant asked_at{};
        instant next_at{};
        duration backoff{0};
        std::optional<grant_report> report;
        std::int64_t call = 0; ///< a response to an earlier call is ignored
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
    void consider_close(grant_entry const& grant, std::string reason, instant now);
    void drive(grant_entry const& grant, budget_shard_state const& state, instant now);
    void ask(process_id const& agent, grant_id const& grant, agent_progress& progress, instant now);
    void answered(
        grant_id const& grant,
        process_id const& agent,
        std::int64_t call,
        absl::StatusOr<grant_report> const& answer);
    bool submit_finished(task& it, agent_progress const&, budget_shard_state const&, instant now);
    void back_off(agent_progress& progress, instant now) const;
    bool acts_first(grant_id const& grant) const;
    bool is_turn(grant_id const& grant, instant since, instant now) const;
    void note(std::string name, grant_entry const& grant, std::string const& detail) const;

    grant_recovery_settings settings_;
    hooks hooks_;
    std::map<grant_id, instant> suspected_since_;
    std::map<grant_id, std::int64_t> close_sequences_;
    std::map<grant_id, task> tasks_;
    std::int64_t next_call_ = 1;
};

} // namespace almondcart
