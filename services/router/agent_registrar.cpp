#include "agent_registrar.hpp"

#include <utility>

namespace almondcart {

namespace {

/// Any other router registers an agent if its primary router has not done so after this delay.
constexpr duration takeover_delay{2'000};
constexpr duration repeat_interval{10'000};

} // namespace

agent_registrar::agent_registrar(
    fleet_state const& state,
    membership const& members,
    clock_function clock,
    std::function<std::int64_t(int shard, record_body)> submit)
    : state_(state)
    , members_(members)
    , clock_(std::move(clock))
    , submit_(std::move(submit))
{}

bool agent_registrar::handle_heartbeat(process_id const& agent, std::string const& upstream)
{
    if (state_.is_registered(agent))
    {
        first_heartbeats_.erase(agent);
        submitted_.erase(agent);
        return true;
    }
    auto const now = clock_();
    auto const first = first_heartbeats_.try_emplace(agent, now).first->second;
    bool const is_responsible =
        members_.is_primary_for(to_text(agent)) || now - first >= takeover_delay;
    auto const submitted = submitted_.find(agent);
    bool const is_due = submitted == submitted_.end() || now - submitted->second >= repeat_interval;
    if (!is_responsible || !is_due)
        return false;
    submitted_[agent] = now;
    for (int n = 0; n < budget_shard_count; ++n)
    {
        if (!state_.shard(n).agents().contains(agent))
            submit_(n, agent_start_record{agent, upstream});
    }
    return false;
}

void agent_registrar::handle_stop(process_id const& agent)
{
    for (int n = 0; n < budget_shard_count; ++n)
    {
        auto const it = state_.shard(n).agents().find(agent);
        if (it != state_.shard(n).agents().end() && it->second.stopped_at < 0)
            submit_(n, agent_stop_record{agent});
    }
}

} // namespace almondcart
