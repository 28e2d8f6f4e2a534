#include "agent_model.hpp"

#include <algorithm>

namespace almondcart::bench {

namespace {

/// The router that dispatched the work submits its usage sooner.
constexpr duration first_report_delay{2000};
constexpr duration report_interval{60'000};

bool has_part(std::vector<grant_part> const& parts, grant_id const& grant)
{
    return std::any_of(
        parts.begin(), parts.end(), [&](auto const& part) { return part.grant == grant; });
}

} // namespace

agent_model::agent_model(int index, bench_world& world)
    : index_(index)
    , id_{"agent-" + std::to_string(index), "incarnation-0"}
    , world_(world)
{}

std::optional<grant_id> agent_model::try_run(
    reservation const& work,
    trace_request const& request,
    std::function<void(usage_item const&)> finished)
{
    for (auto const& part : work.parts)
    {
        if (closed_.contains(part.grant))
            return part.grant;
    }
    running_[work.request] = work;
    world_.queue.after(
        request.service_time,
        [this, work, &request, finished = std::move(finished)]
        {
            running_.erase(work.request);
            usage_item const usage{
                work.request, work.started_ms, first_tokens_of(work.parts, request.actual)};
            unacknowledged_[work.request] = {usage, world_.queue.now() + first_report_delay};
            world_.oracle.finished(request);
            finished(usage);
        });
    return std::nullopt;
}

grant_report agent_model::close_grant(grant_id const& grant)
{
    closed_.insert(grant);
    grant_report report;
    report.agent = id_;
    for (auto const& [id, work] : unacknowledged_)
    {
        if (has_part(work.usage.parts, grant))
            report.finished.push_back(work.usage);
    }
    report.running = int(std::count_if(
        running_.begin(),
        running_.end(),
        [&](auto const& item) { return has_part(item.second.parts, grant); }));
    return report;
}

std::vector<usage_item> agent_model::usage_to_report()
{
    std::vector<usage_item> items;
    auto const now = world_.queue.now();
    for (auto& [id, work] : unacknowledged_)
    {
        if (work.report_at > now)
            continue;
        items.push_back(work.usage);
        work.report_at = now + report_interval;
    }
    return items;
}

} // namespace almondcart::bench
