#include <almondcart/budget/grant_recovery.hpp>
#include <almondcart/core/hash.hpp>

#include <algorithm>

namespace almondcart {

grant_recovery::grant_recovery(grant_recovery_settings settings, hooks hooks)
    : settings_(std::move(settings))
    , hooks_(std::move(hooks))
{}

void grant_recovery::tick()
{
    auto const now = hooks_.now();
    auto const stranded = hooks_.stranded_grants();
    std::set<grant_id> const own(stranded.begin(), stranded.end());
    for (int shard = 0; shard < budget_shard_count; ++shard)
    {
        if (auto const* state = hooks_.shard_state(shard))
            tick_shard(*state, own, now);
    }
}

void grant_recovery::tick_shard(
    budget_shard_state const& state,
    std::set<grant_id> const& stranded,
    instant now)
{
    auto const is_ended = [&](auto const& item)
    { return item.first.shard == state.shard() && state.find_grant(item.first) == nullptr; };
    std::erase_if(tasks_, is_ended);
    std::erase_if(suspected_since_, is_ended);
    std::erase_if(close_sequences_, is_ended);

    for (auto const& [id, grant] : state.grants())
    {
        if (grant.state == grant_state::closed)
            advance_recovery(grant, state, now);
        else if (stranded.contains(id))
            close_when_allowed(grant, "tokens stranded", now);
        else if (grant.holder != settings_.self && hooks_.is_dead(grant.holder))
            close_when_allowed(grant, "holder does not respond", now);
        else
            suspected_since_.erase(id);
    }
}

void grant_recovery::close_when_allowed(grant_entry const& grant, std::string reason, instant now)
{
    auto const since = suspected_since_.try_emplace(grant.id, now).first->second;
    if (close_sequences_.contains(grant.id) || !may_act(grant.id, since, now))
        return;
    report_event("close_grant", grant, reason);
    close_sequences_[grant.id] = hooks_.submit(close_record{grant.id, std::move(reason)});
}

void grant_recovery::advance_recovery(
    grant_entry const& grant,
    budget_shard_state const& state,
    instant now)
{
    auto& it = tasks_.try_emplace(grant.id, task{now, {}, {}, -1}).first->second;
    if (!may_act(grant.id, it.since, now))
        return;
    auto const required = state.required_reports(grant.id);
    bool all_agents_done = true;
    for (auto const& agent : required)
    {
        auto& progress = it.agents[agent];
        if (progress.is_asking && now - progress.asked_at >= settings_.response_timeout)
            back_off(progress, now);
        auto const is_idle = progress.report && progress.report->running == 0;
        if (!is_idle && !progress.is_asking && now >= progress.next_at)
            request_report(agent, grant.id, progress, now);
        all_agents_done = submit_finished(it, progress, state, now) && is_idle && all_agents_done;
    }
    auto const is_submitted =
        it.recover_sequence >= 0 && !state.has_applied(settings_.self, it.recover_sequence);
    if (!all_agents_done || is_submitted)
        return;
    report_event("recover_grant", grant, std::to_string(required.size()) + " agents reported");
    it.recover_sequence = hooks_.submit(recover_record{grant.id, required});
}

void grant_recovery::request_report(
    process_id const& agent,
    grant_id const& grant,
    agent_progress& progress,
    instant now)
{
    progress.is_asking = true;
    progress.asked_at = now;
    progress.call = next_call_++;
    hooks_.close_grant(
        agent,
        grant,
        [this, grant, agent, call = progress.call](auto const& response)
        { on_report(grant, agent, call, response); });
}

void grant_recovery::on_report(
    grant_id const& grant,
    process_id const& agent,
    std::int64_t call,
    absl::StatusOr<grant_report> const& response)
{
    auto const it = tasks_.find(grant);
    if (it == tasks_.end())
        return;
    auto& progress = it->second.agents[agent];
    if (progress.call != call || !progress.is_asking)
        return;
    auto const now = hooks_.now();
    // A report from another incarnation does not cover the work of this one.
    if (!response.ok() || response->agent != agent)
    {
        back_off(progress, now);
        return;
    }
    progress.is_asking = false;
    progress.backoff = duration{0};
    progress.report = *response;
    progress.next_at = now + settings_.running_poll_interval;
}

bool grant_recovery::submit_finished(
    task& it,
    agent_progress const& progress,
    budget_shard_state const& state,
    instant now)
{
    if (!progress.report)
        return false;
    usage_record record;
    bool is_billed = true;
    for (auto const& item : progress.report->finished)
    {
        auto const* request = state.find_request(item.request);
        if (request != nullptr && request->is_billed)
            continue;
        is_billed = false;
        auto const sent = it.usage_submitted_at.find(item.request);
        if (sent != it.usage_submitted_at.end() &&
            now - sent->second < settings_.usage_resubmit_interval)
            continue;
        it.usage_submitted_at[item.request] = now;
        record.items.push_back(item);
    }
    if (!record.items.empty())
        hooks_.submit(std::move(record));
    return is_billed;
}

void grant_recovery::back_off(agent_progress& progress, instant now) const
{
    progress.is_asking = false;
    progress.backoff =
        std::clamp(progress.backoff * 2, settings_.initial_backoff, settings_.max_backoff);
    progress.next_at = now + progress.backoff;
}

bool grant_recovery::is_preferred_router(grant_id const& grant) const
{
    auto const seed = hash64(to_text(grant));
    auto const own = hash64(to_text(settings_.self), seed);
    auto const peers = hooks_.live_peers();
    return std::all_of(
        peers.begin(),
        peers.end(),
        [&](process_id const& peer) { return hash64(to_text(peer), seed) <= own; });
}

bool grant_recovery::may_act(grant_id const& grant, instant since, instant now) const
{
    return is_preferred_router(grant) || now - since >= settings_.takeover_delay;
}

std::vector<grant_in_recovery> grant_recovery::pending_recoveries() const
{
    std::vector<grant_in_recovery> result;
    for (auto const& [id, it] : tasks_)
    {
        auto const* state = hooks_.shard_state(id.shard);
        auto const* grant = state != nullptr ? state->find_grant(id) : nullptr;
        if (grant == nullptr)
            continue;
        grant_in_recovery entry{
            id, grant->budget, grant->holder, grant->amount - grant->billed, it.since, {}, {}};
        for (auto const& agent : state->required_reports(id))
        {
            auto const progress = it.agents.find(agent);
            if (progress == it.agents.end() || !progress->second.report)
            {
                entry.unreachable.push_back(agent);
                continue;
            }
            auto const& report = *progress->second.report;
            if (report.running > 0)
                entry.running.push_back(agent);
            entry.is_usage_unbilled =
                entry.is_usage_unbilled || std::any_of(
                                               report.finished.begin(),
                                               report.finished.end(),
                                               [&](usage_item const& item)
                                               {
                                                   auto const* request =
                                                       state->find_request(item.request);
                                                   return request == nullptr || !request->is_billed;
                                               });
        }
        result.push_back(std::move(entry));
    }
    return result;
}

void grant_recovery::report_event(
    std::string name,
    grant_entry const& grant,
    std::string const& detail) const
{
    if (!hooks_.record_event)
        return;
    event entry;
    entry.part = "budget";
    entry.name = std::move(name);
    entry.budget = to_text(grant.budget);
    entry.detail = to_text(grant.id) + " of " + to_text(grant.holder) + ": " + detail;
    hooks_.record_event(std::move(entry));
}

} // namespace almondcart
