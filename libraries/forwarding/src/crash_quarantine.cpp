#include <almondcart/forwarding/crash_quarantine.hpp>

#include <algorithm>

namespace almondcart::forwarding {

crash_quarantine::crash_quarantine(crash_quarantine_settings settings, hooks hooks)
    : settings_(settings)
    , hooks_(std::move(hooks))
{}

bool crash_quarantine::crash::contains(request_feature const& feature) const
{
    return std::ranges::any_of(
        requests, [&](auto const& it) { return std::ranges::find(it, feature) != it.end(); });
}

std::size_t crash_quarantine::crash::size() const
{
    std::size_t n = 0;
    for (auto const& it : requests)
        n += it.size();
    return n;
}

void crash_quarantine::apply(crash_record const& record)
{
    // It would count far beyond its retention.
    if (record.wall_time_ms - hooks_.wall_time_ms() > settings_.max_clock_lead.count())
        return;
    is_outdated_ = true;
    if (!record.crashed)
    {
        for (auto const& request : record.requests)
        {
            for (auto const& feature : request)
                clear_feature({record.service, feature});
        }
        return;
    }
    auto const [it, is_new] = crashes_.try_emplace(*record.crashed);
    auto& crash = it->second;
    if (is_new)
    {
        crash.service = record.service;
        crash.wall_time_ms = record.wall_time_ms;
    }
    for (auto const& reported : record.requests)
    {
        auto request = without_repeats(reported);
        if (std::ranges::find(crash.requests, request) != crash.requests.end())
            continue;
        size_ += request.size();
        crash.requests.push_back(std::move(request));
    }
    drop_old_crashes();
}

void crash_quarantine::clear()
{
    crashes_.clear();
    size_ = 0;
    is_outdated_ = true;
}

void crash_quarantine::clear_feature(key const& where)
{
    auto const& [service, feature] = where;
    for (auto& [process, crash] : crashes_)
    {
        if (crash.service != service)
            continue;
        for (auto& request : crash.requests)
            size_ -= std::erase(request, feature);
        std::erase_if(crash.requests, [](auto const& it) { return it.empty(); });
    }
}

void crash_quarantine::drop_old_crashes()
{
    auto const earliest_ms = hooks_.wall_time_ms() - settings_.retention.count();
    while (!crashes_.empty())
    {
        auto const oldest = std::ranges::min_element(
            crashes_, {}, [](auto const& it) { return it.second.wall_time_ms; });
        bool const is_old = oldest->second.wall_time_ms <= earliest_ms;
        if (!is_old && size_ <= settings_.capacity)
            return;
        size_ -= oldest->second.size();
        crashes_.erase(oldest);
        is_outdated_ = true;
    }
}

void crash_quarantine::update()
{
    drop_old_crashes();
    if (!std::exchange(is_outdated_, false))
        return;
    auto const before = std::exchange(quarantined_, {});
    for (auto& [process, crash] : crashes_)
        crash.is_explained = false;
    auto all = collect();
    for (auto culprit = find_culprit(all); culprit; culprit = find_culprit(all))
    {
        quarantined_[*culprit] = all[*culprit];
        explain(*culprit);
        all = collect();
    }
    suspects_.clear();
    for (auto const& [where, it] : all)
        suspects_.insert(where);
    report_changes(before);
}

void crash_quarantine::explain(key const& culprit)
{
    auto const& [service, feature] = culprit;
    for (auto& [process, crash] : crashes_)
    {
        if (crash.service == service && crash.contains(feature))
            crash.is_explained = true;
    }
}

crash_quarantine::evidence_map crash_quarantine::collect() const
{
    evidence_map all;
    for (auto const& [process, crash] : crashes_)
    {
        std::set<request_feature> features;
        for (auto const& request : crash.requests)
            features.insert(request.begin(), request.end());
        add_evidence(all, crash, features);
    }
    return all;
}

crash_quarantine::evidence_map crash_quarantine::collect_more_specific(key const& than) const
{
    evidence_map found;
    for (auto const& [process, crash] : crashes_)
    {
        if (crash.service != than.first)
            continue;
        std::set<request_feature> features;
        for (auto const& request : crash.requests)
        {
            auto const it = std::ranges::find(request, than.second);
            if (it != request.end())
                features.insert(std::next(it), request.end());
        }
        add_evidence(found, crash, features);
    }
    return found;
}

void crash_quarantine::add_evidence(
    evidence_map& out,
    crash const& from,
    std::set<request_feature> const& features) const
{
    if (from.is_explained)
        return;
    for (auto const& feature : features)
    {
        auto& it = out[{from.service, feature}];
        ++it.processes;
        auto const position = std::ranges::lower_bound(it.times_ms, from.wall_time_ms);
        auto const spacing = settings_.crash_spacing.count();
        bool const is_near_next =
            position != it.times_ms.end() && *position - from.wall_time_ms < spacing;
        bool const is_near_previous =
            position != it.times_ms.begin() && from.wall_time_ms - *std::prev(position) < spacing;
        if (!is_near_next && !is_near_previous)
            it.times_ms.insert(position, from.wall_time_ms);
    }
}

std::optional<crash_quarantine::key> crash_quarantine::find_culprit(evidence_map const& all) const
{
    auto const strongest = [this](evidence_map const& among)
    {
        auto best = among.end();
        for (auto it = among.begin(); it != among.end(); ++it)
        {
            bool const is_better =
                best == among.end() || it->second.processes > best->second.processes;
            if (suffices(it->second) && is_better)
                best = it;
        }
        return best;
    };
    auto const first = strongest(all);
    if (first == all.end())
        return std::nullopt;
    auto culprit = first->first;
    auto processes = first->second.processes;
    // Parts may stand in different orders in different requests, so each may be behind the other.
    std::set<key> visited{culprit};
    // What sound requests share with those that crash upstreams, such as the beginning of a prompt,
    // may be involved in more crashes than the cause, which then explains most of them.
    constexpr std::size_t majority_divisor = 2;
    for (;;)
    {
        auto candidates = collect_more_specific(culprit);
        std::erase_if(candidates, [&](auto const& it) { return visited.contains(it.first); });
        auto const best = strongest(candidates);
        if (best == candidates.end() || best->second.processes * majority_divisor < processes)
            return culprit;
        culprit = best->first;
        processes = best->second.processes;
        visited.insert(culprit);
    }
}

void crash_quarantine::report_changes(evidence_map const& before) const
{
    for (auto const& [where, it] : before)
    {
        if (!quarantined_.contains(where))
            hooks_.on_change(where.first, where.second, false, it.processes);
    }
    for (auto const& [where, it] : quarantined_)
    {
        if (!before.contains(where))
            hooks_.on_change(where.first, where.second, true, it.processes);
    }
}

std::optional<request_feature>
crash_quarantine::find(std::string const& service, feature_list const& features) const
{
    // The usual case, which should cost nothing.
    if (quarantined_.empty())
        return std::nullopt;
    auto const it = std::ranges::find_if(
        features,
        [&](request_feature const& feature) {
            return quarantined_.contains({service, feature});
        });
    return it == features.end() ? std::nullopt : std::optional(*it);
}

duration
crash_quarantine::time_left(std::string const& service, request_feature const& feature) const
{
    auto const it = quarantined_.find({service, feature});
    if (it == quarantined_.end())
        return duration(0);
    // It ends when too few of its crashes count any more.
    auto const& times_ms = it->second.times_ms;
    auto const decisive_ms = times_ms[times_ms.size() - settings_.crash_limit];
    auto const end_ms = decisive_ms + settings_.retention.count();
    return std::max(duration(0), duration(end_ms - hooks_.wall_time_ms()));
}

} // namespace almondcart::forwarding
