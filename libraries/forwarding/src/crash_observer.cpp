#include <almondcart/forwarding/crash_observer.hpp>

#include <algorithm>
#include <utility>

namespace almondcart::forwarding {

crash_observer::crash_observer(crash_observer_settings settings, hooks hooks)
    : settings_(settings)
    , hooks_(std::move(hooks))
    , answered_parts_(settings.answered, hooks_.clock)
    , answered_contents_(settings.answered, hooks_.clock)
{}

void crash_observer::lost(
    upstream_process const& process,
    std::string const& service,
    feature_list const& features)
{
    auto const [it, is_new] = losses_.try_emplace(process);
    auto& loss = it->second;
    if (is_new)
    {
        loss.service = service;
        loss.at = hooks_.clock();
        loss.wall_time_ms = hooks_.wall_time_ms();
    }
    feature_list suspected;
    for (auto const& feature : features)
    {
        if (!answered_of(feature.kind).contains(service, feature))
            suspected.push_back(feature);
    }
    bool const is_listed = std::ranges::find(loss.requests, suspected) != loss.requests.end();
    if (!suspected.empty() && !is_listed && loss.requests.size() < settings_.report_limit)
        loss.requests.push_back(std::move(suspected));
}

answered_features& crash_observer::answered_of(feature_kind kind)
{
    return kind == feature_kind::content ? answered_contents_ : answered_parts_;
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

void crash_observer::answered(std::string const& service, feature_list const& features)
{
    for (auto& [process, loss] : losses_)
    {
        if (loss.service != service)
            continue;
        for (auto& request : loss.requests)
            std::erase_if(
                request,
                [&](auto const& it) { return std::ranges::find(features, it) != features.end(); });
        std::erase_if(loss.requests, [](auto const& it) { return it.empty(); });
    }
    auto const now = hooks_.clock();
    feature_list cleared;
    for (auto const& feature : features)
    {
        answered_of(feature.kind).add(service, feature);
        if (!hooks_.is_suspect(service, feature))
            continue;
        auto const [it, is_new] = answer_reports_.try_emplace({service, feature}, now);
        if (!is_new && now - it->second < settings_.answer_interval)
            continue;
        it->second = now;
        cleared.push_back(feature);
    }
    if (cleared.empty())
        return;
    crash_record report;
    report.requests.push_back(std::move(cleared));
    report.service = service;
    report.wall_time_ms = hooks_.wall_time_ms();
    hooks_.report(std::move(report));
}

void crash_observer::tick()
{
    auto const now = hooks_.clock();
    for (auto it = losses_.begin(); it != losses_.end();)
    {
        auto& [process, loss] = *it;
        if (now - loss.at < settings_.confirmation)
        {
            ++it;
            continue;
        }
        if (!loss.requests.empty())
        {
            crash_record report;
            report.service = loss.service;
            report.wall_time_ms = loss.wall_time_ms;
            report.crashed = process;
            report.requests = std::move(loss.requests);
            hooks_.report(std::move(report));
        }
        it = losses_.erase(it);
    }
    std::erase_if(
        answer_reports_,
        [&](auto const& it) { return now - it.second >= settings_.answer_interval; });
}

} // namespace almondcart::forwarding
