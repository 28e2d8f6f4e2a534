#include <almondcart/forwarding/crash_quarantine.hpp>

#include <algorithm>
#include <cstdlib>

namespace almondcart::forwarding {

crash_quarantine::crash_quarantine(crash_quarantine_settings settings, hooks hooks)
    : settings_(settings)
    , hooks_(std::move(hooks))
{}

void crash_quarantine::apply(crash_record const& record)
{
    auto const age_ms = hooks_.wall_time_ms() - record.wall_time_ms;
    if (age_ms > settings_.retention.count())
        return;
    for (auto const& feature : record.features)
    {
        key const where{record.service, feature};
        if (record.crashed)
        {
            add_crash(where, record);
            continue;
        }
        auto const it = suspects_.find(where);
        if (it == suspects_.end())
            continue;
        bool const was_quarantined = is_quarantined(it->second);
        suspects_.erase(it);
        if (was_quarantined)
            hooks_.on_change(record.service, feature, false, record);
    }
}

void crash_quarantine::add_crash(key const& where, crash_record const& record)
{
    if (!suspects_.contains(where) && suspects_.size() >= settings_.capacity)
        drop_oldest();
    auto& it = suspects_[where];
    if (!it.processes.insert(*record.crashed).second)
        return;
    it.last_crash_ms = std::max(it.last_crash_ms, record.wall_time_ms);
    auto& times = it.crash_times_ms;
    bool const is_spaced = std::ranges::all_of(
        times,
        [&](std::int64_t time)
        { return std::abs(record.wall_time_ms - time) >= settings_.crash_spacing.count(); });
    if (!is_spaced || is_quarantined(it))
        return;
    times.push_back(record.wall_time_ms);
    if (is_quarantined(it))
        hooks_.on_change(where.first, where.second, true, record);
}

void crash_quarantine::drop_oldest()
{
    auto const oldest = std::ranges::min_element(
        suspects_, {}, [](auto const& it) { return it.second.last_crash_ms; });
    suspects_.erase(oldest);
}

bool crash_quarantine::is_quarantined(suspect const& it) const
{
    return it.crash_times_ms.size() >= settings_.crash_limit;
}

std::int64_t crash_quarantine::end_ms(suspect const& it) const
{
    return it.last_crash_ms + settings_.retention.count();
}

std::optional<request_feature> crash_quarantine::find(
    std::string const& service,
    std::vector<request_feature> const& features) const
{
    // The usual case, which should cost nothing.
    if (suspects_.empty())
        return std::nullopt;
    auto const it = std::ranges::find_if(
        features,
        [&](request_feature const& feature) { return time_left(service, feature) > duration(0); });
    return it == features.end() ? std::nullopt : std::optional(*it);
}

duration
crash_quarantine::time_left(std::string const& service, request_feature const& feature) const
{
    auto const it = suspects_.find({service, feature});
    if (it == suspects_.end() || !is_quarantined(it->second))
        return duration(0);
    return std::max(duration(0), duration(end_ms(it->second) - hooks_.wall_time_ms()));
}

void crash_quarantine::expire()
{
    auto const now_ms = hooks_.wall_time_ms();
    std::erase_if(suspects_, [&](auto const& it) { return now_ms > end_ms(it.second); });
}

std::size_t crash_quarantine::quarantined_count() const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        suspects_, [&](auto const& it) { return is_quarantined(it.second); }));
}

} // namespace almondcart::forwarding
