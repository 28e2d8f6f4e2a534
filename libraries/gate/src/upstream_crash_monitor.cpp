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
        report_crash_if_idle();
}

void upstream_crash_monitor::call_completed(std::uint64_t call)
{
    auto const it = running_.find(call);
    if (it == running_.end())
        return;
    suspects_.erase(it->second.fingerprint);
    running_.erase(it);
    // An upstream that still responds did not crash, so the earlier losses were faults of single
    // calls.
    lost_.clear();
}

void upstream_crash_monitor::call_lost(std::uint64_t call)
{
    auto const it = running_.find(call);
    if (it == running_.end())
        return;
    drop_expired_losses();
    lost_.push_back({hooks_.now(), std::move(it->second)});
    running_.erase(it);
    report_crash_if_idle();
}

void upstream_crash_monitor::connection_refused(std::uint64_t call)
{
    running_.erase(call);
    drop_expired_losses();
    // Calls that are still running will end soon and belong to the same crash.
    is_down_ = true;
    report_crash_if_idle();
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
    drop_acknowledged_notices();
}

std::vector<crash_notice> upstream_crash_monitor::notices_for(std::string const& router) const
{
    std::vector<crash_notice> notices;
    for (auto const& pending : notices_)
    {
        if (!pending.acknowledged_by.contains(router))
            notices.push_back(pending.notice);
    }
    return notices;
}

void upstream_crash_monitor::acknowledge(
    std::string const& router,
    std::vector<crash_notice> const& notices)
{
    for (auto& pending : notices_)
    {
        if (std::ranges::find(notices, pending.notice) != notices.end())
            pending.acknowledged_by.insert(router);
    }
    drop_acknowledged_notices();
}

void upstream_crash_monitor::drop_expired_losses()
{
    if (is_down_)
        return;
    auto const oldest = hooks_.now() - crash_window;
    std::erase_if(lost_, [&](lost_call const& it) { return it.lost_at < oldest; });
}

void upstream_crash_monitor::report_crash_if_idle()
{
    if (!running_.empty() || lost_.empty())
        return;
    is_down_ = true;
    ++crash_count_;
    pending_notice pending;
    pending.notice.crash = hooks_.create_crash_id();
    for (auto& lost : lost_)
        pending.notice.requests.push_back(std::move(lost.request));
    lost_.clear();
    update_suspects(pending.notice.requests);
    if (hooks_.crashed)
        hooks_.crashed(pending.notice);
    notices_.push_back(std::move(pending));
    if (notices_.size() > notice_limit)
        notices_.pop_front();
}

void upstream_crash_monitor::update_suspects(std::vector<crashed_request> const& requests)
{
    bool const has_suspect =
        std::ranges::any_of(requests, [](crashed_request const& it) { return it.ran_as_suspect; });
    for (auto const& request : requests)
    {
        // Requests that ran beside a known suspect do not become suspects.
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

void upstream_crash_monitor::drop_acknowledged_notices()
{
    if (routers_.empty())
        return;
    std::erase_if(
        notices_,
        [&](pending_notice const& pending)
        {
            return std::ranges::all_of(
                routers_,
                [&](std::string const& it) { return pending.acknowledged_by.contains(it); });
        });
}

} // namespace almondcart
