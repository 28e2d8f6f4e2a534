#include <almondcart/forwarding/crash_observer.hpp>

namespace almondcart::forwarding {

crash_observer::crash_observer(crash_observer_settings settings, hooks hooks)
    : settings_(settings)
    , hooks_(std::move(hooks))
{}

void crash_observer::lost(
    upstream_process const& process,
    std::string const& service,
    std::vector<request_feature> const& features)
{
    auto const [it, is_new] = losses_.try_emplace(process);
    auto& loss = it->second;
    if (is_new)
    {
        loss.service = service;
        loss.at = hooks_.clock();
        loss.wall_time_ms = hooks_.wall_time_ms();
    }
    for (auto const& feature : features)
    {
        if (loss.features.size() < settings_.report_limit)
            loss.features.insert(feature);
    }
}

void crash_observer::responded(upstream_process const& process)
{
    if (losses_.empty())
        return;
    auto const it = losses_.find(process);
    if (it == losses_.end() || hooks_.clock() - it->second.at < settings_.late_bytes)
        return;
    losses_.erase(it);
    hooks_.on_contradiction(process);
}

void crash_observer::answered(
    std::string const& service,
    std::vector<request_feature> const& features)
{
    for (auto& [process, loss] : losses_)
    {
        if (loss.service != service)
            continue;
        for (auto const& feature : features)
            loss.features.erase(feature);
    }
    auto const now = hooks_.clock();
    crash_record report;
    for (auto const& feature : features)
    {
        if (!hooks_.is_suspect(service, feature))
            continue;
        auto const [it, is_new] = answer_reports_.try_emplace({service, feature}, now);
        if (!is_new && now - it->second < settings_.answer_interval)
            continue;
        it->second = now;
        report.features.push_back(feature);
    }
    if (report.features.empty())
        return;
    report.service = service;
    report.wall_time_ms = hooks_.wall_time_ms();
    hooks_.report(std::move(report));
}

void crash_observer::tick()
{
    auto const now = hooks_.clock();
    for (auto it = losses_.begin(); it != losses_.end();)
    {
        auto const& [process, loss] = *it;
        if (now - loss.at < settings_.confirmation)
        {
            ++it;
            continue;
        }
        if (!loss.features.empty())
        {
            crash_record report;
            report.service = loss.service;
            report.wall_time_ms = loss.wall_time_ms;
            report.crashed = process;
            report.features.assign(loss.features.begin(), loss.features.end());
            hooks_.report(std::move(report));
        }
        it = losses_.erase(it);
    }
    std::erase_if(
        answer_reports_,
        [&](auto const& it) { return now - it.second >= settings_.answer_interval; });
}

} // namespace almondcart::forwarding
