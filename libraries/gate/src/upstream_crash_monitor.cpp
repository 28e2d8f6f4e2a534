#include <almondcart/gate/upstream_crash_monitor.hpp>

#include <algorithm>
#include <utility>

namespace almondcart {

upstream_crash_monitor::upstream_crash_monitor(hooks hooks)
    : hooks_(std::move(hooks))
{}

void upstream_crash_monitor::call_started(std::uint64_t call, crashed_request request)
{
    request.ran_as_suspect = request.ran_as_suspect || suspects_.contains(request.fingerprint);
    running_.insert_or_assign(call, std::move(request));
}

void upstream_crash_monitor::call_ended(std::uint64_t call)
{
    running_.erase(call);
    if (is_down_)
        report_crash_if_all_ended();
}

void upstream_crash_monitor::call_completed(std::uint64_t call)
{
    auto const it = running_.find(call);
    if (it == running_.end())
        return;
    suspects_.erase(it->second.fingerprint);
    running_.erase(it);
    // An upstream that still answers did not crash: the losses before were faults of single calls.
    lost_.clear();
}

void upstream_crash_monitor::call_lost(std::uint64_t call)
{
    auto const it = running_.find(call);
    if (it == running_.end())
        return;
    forget_old_losses();
    lost_.push_back({hooks_.now(), std::move(it->second)});
    running_.erase(it);
    report_crash_if_all_ended();
}

void upstream_crash_monitor::connection_refused(std::uint64_t call)
{
    running_.erase(call);
    forget_old_losses();
    // Calls that still run end soon, and belong to the same crash.
    is_down_ = true;
    report_crash_if_all_ended();
}

void upstream_crash_monitor::probe_answered()
{
    is_down_ = false;
}

bool upstream_crash_monitor::is_suspect_running() const
{
    return std::ranges::any_of(running_, [](auto const& it) { return it.second.ran_as_suspect; });
}

void upstream_crash_monitor::set_routers(std::vector<std::string> routers)
{
    routers_ = std::move(routers);
    drop_seen_notices();
}

std::vector<crash_notice> upstream_crash_monitor::unseen_by(std::string const& router) const
{
    std::vector<crash_notice> notices;
    for (auto const& kept : notices_)
    {
        if (!kept.seen_by.contains(router))
            notices.push_back(kept.notice);
    }
    return notices;
}

void upstream_crash_monitor::mark_seen(
    std::string const& router,
    std::vector<crash_notice> const& notices)
{
    for (auto& kept : notices_)
    {
        if (std::ranges::find(notices, kept.notice) != notices.end())
            kept.seen_by.insert(router);
    }
    drop_seen_notices();
}

void upstream_crash_monitor::forget_old_losses()
{
    if (is_down_)
        return;
    auto const oldest = hooks_.now() - crash_window;
    std::erase_if(lost_, [&](lost_call const& it) { return it.at < oldest; });
}

void upstream_crash_monitor::report_crash_if_all_ended()
{
    if (!running_.empty() || lost_.empty())
        return;
    is_down_ = true;
    ++crash_count_;
    kept_notice kept;
    kept.notice.crash = hooks_.create_crash_id();
    for (auto& lost : lost_)
        kept.notice.requests.push_back(std::move(lost.request));
    lost_.clear();
    mark_requests(kept.notice.requests);
    if (hooks_.crashed)
        hooks_.crashed(kept.notice);
    notices_.push_back(std::move(kept));
    if (notices_.size() > notice_limit)
        notices_.pop_front();
}

void upstream_crash_monitor::mark_requests(std::vector<crashed_request> const& requests)
{
    bool const has_suspect =
        std::ranges::any_of(requests, [](crashed_request const& it) { return it.ran_as_suspect; });
    for (auto const& request : requests)
    {
        // Requests that ran beside a known suspect are not suspected themselves.
        if (request.ran_as_suspect)
        {
            suspects_.erase(request.fingerprint);
            if (blocked_.size() < fingerprint_limit)
                blocked_.insert(request.fingerprint);
        }
        else if (!has_suspect && suspects_.size() < fingerprint_limit)
            suspects_.insert(request.fingerprint);
    }
}

void upstream_crash_monitor::drop_seen_notices()
{
    if (routers_.empty())
        return;
    std::erase_if(
        notices_,
        [&](kept_notice const& kept)
        {
            return std::ranges::all_of(
                routers_, [&](std::string const& it) { return kept.seen_by.contains(it); });
        });
}

} // namespace almondcart
