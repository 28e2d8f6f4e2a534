#include <almondcart/core/clock.hpp>
#include <almondcart/http/event_loop.hpp>

#include <h2o.h>
#include <sys/signalfd.h>

#include <algorithm>
#include <csignal>

#include "timer_entry.hpp"

namespace almondcart {

namespace {

/// Longest wait for events. epoll does not count the time for which a VM is suspended, so after it
/// resumes, timers run late by at most this much.
constexpr duration default_wait_limit{1000};

/// Limit of event rounds in which connections of destroyed servers may finish closing.
constexpr int drain_round_limit = 64;

void on_watch_readable(h2o_socket_t* socket, char const* /*error*/)
{
    // Copied, because the callback may end the watch and destroy the original.
    auto const callback = *static_cast<std::function<void()>*>(socket->data);
    callback();
}

void block_signals(std::initializer_list<int> numbers, sigset_t& signals)
{
    sigemptyset(&signals);
    for (int const it : numbers)
        sigaddset(&signals, it);
    sigprocmask(SIG_BLOCK, &signals, nullptr);
}

} // namespace

void hold_control_signals()
{
    sigset_t signals;
    block_signals({SIGTERM, SIGINT, SIGHUP}, signals);
}

event_loop::event_loop()
    : loop_(h2o_evloop_create())
{
    std::signal(SIGPIPE, SIG_IGN);
}

event_loop::~event_loop()
{
    // Moved out first, because captured objects may cancel further timers when they are destroyed.
    std::exchange(timers_, {}).clear();
    for (int i = 0; i < drain_round_limit && !retained_.empty(); ++i)
        run_once(duration(1));
    bool const is_drained = retained_.empty();
    std::exchange(timers_, {}).clear();
    std::exchange(retained_, {}).clear();
    for (auto const& [socket, callback] : watches_)
        h2o_socket_close(socket);
    h2o_evloop_run(loop_, 0);
    if (is_drained)
        h2o_evloop_destroy(loop_);
}

void event_loop::run()
{
    run_until([] { return false; });
}

void event_loop::run_until(std::function<bool()> const& is_done)
{
    is_stopped_ = false;
    while (!is_stopped_ && !is_done())
        run_once(default_wait_limit);
}

void event_loop::run_once(duration wait_limit)
{
    // Does not wait after callbacks have run, because they may have ended the run.
    bool const has_run = run_due_timers();
    auto const wait = has_run ? duration(0) : wait_time(wait_limit);
    h2o_evloop_run(loop_, static_cast<std::int32_t>(wait.count()));
    for (auto const& [owner, callback] : round_callbacks_)
        callback();
}

duration event_loop::wait_time(duration wait_limit) const
{
    if (timers_.empty())
        return wait_limit;
    return std::clamp(timers_.begin()->first.first - now(), duration(0), wait_limit);
}

instant event_loop::now() const
{
    return system_clock_source::now();
}

timer event_loop::after(duration delay, std::function<void()> callback)
{
    return add_timer(delay, duration(0), std::move(callback));
}

timer event_loop::every(duration period, std::function<void()> callback)
{
    return add_timer(period, std::max(period, duration(1)), std::move(callback));
}

timer event_loop::add_timer(duration delay, duration period, std::function<void()> callback)
{
    auto entry = std::make_shared<detail::timer_entry>();
    entry->loop = this;
    entry->key = {now() + delay, next_sequence_++};
    entry->period = period;
    entry->callback = std::move(callback);
    timers_.emplace(entry->key, entry);
    return timer(entry);
}

void event_loop::cancel(detail::timer_entry& entry)
{
    entry.is_cancelled = true;
    timers_.erase(entry.key);
}

bool event_loop::run_due_timers()
{
    bool has_run = false;
    // Timers added by these callbacks run in the next round, so that events are not starved.
    auto const sequence_limit = next_sequence_;
    auto const due = now();
    for (auto it = timers_.begin(); it != timers_.end() && it->first.first <= due;)
    {
        if (it->first.second >= sequence_limit)
        {
            ++it;
            continue;
        }
        auto const entry = it->second;
        timers_.erase(it);
        entry->callback();
        has_run = true;
        if (entry->period > duration(0) && !entry->is_cancelled)
        {
            entry->key = {now() + entry->period, next_sequence_++};
            timers_.emplace(entry->key, entry);
        }
        it = timers_.begin();
    }
    return has_run;
}

void event_loop::after_each_round(void const* owner, std::function<void()> callback)
{
    round_callbacks_.emplace(owner, std::move(callback));
}

void event_loop::end_after_each_round(void const* owner)
{
    round_callbacks_.erase(owner);
}

void event_loop::on_stop_signal(std::function<void()> callback)
{
    bool const is_watched = stop_signal_callback_ != nullptr;
    stop_signal_callback_ = std::move(callback);
    if (!is_watched)
        watch_signals({SIGTERM, SIGINT}, stop_signal_callback_);
}

void event_loop::on_reload_signal(std::function<void()> callback)
{
    bool const is_watched = reload_signal_callback_ != nullptr;
    reload_signal_callback_ = std::move(callback);
    if (!is_watched)
        watch_signals({SIGHUP}, reload_signal_callback_);
}

void event_loop::watch_signals(
    std::initializer_list<int> numbers,
    std::function<void()> const& callback)
{
    sigset_t signals;
    block_signals(numbers, signals);
    int const fd = signalfd(-1, &signals, SFD_NONBLOCK | SFD_CLOEXEC);
    watch(
        fd,
        [&callback, fd]
        {
            signalfd_siginfo information{};
            while (read(fd, &information, sizeof(information)) == sizeof(information))
                callback();
        });
}

st_h2o_socket_t* event_loop::watch(int fd, std::function<void()> callback)
{
    auto* const socket = h2o_evloop_socket_create(loop_, fd, H2O_SOCKET_FLAG_DONT_READ);
    auto const it =
        watches_.emplace(socket, std::make_unique<std::function<void()>>(std::move(callback)))
            .first;
    socket->data = it->second.get();
    h2o_socket_read_start(socket, on_watch_readable);
    return socket;
}

void event_loop::unwatch(st_h2o_socket_t* socket)
{
    if (watches_.erase(socket) != 0)
        h2o_socket_close(socket);
}

void event_loop::retain(std::shared_ptr<void> object)
{
    auto const* key = object.get();
    retained_.emplace(key, std::move(object));
}

void event_loop::release(void const* object)
{
    if (retained_.contains(object))
        post([this, object] { retained_.erase(object); });
}

} // namespace almondcart
