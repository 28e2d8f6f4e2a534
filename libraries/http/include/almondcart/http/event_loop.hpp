#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/http/timer.hpp>

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <map>
#include <memory>
#include <utility>

struct st_h2o_evloop_t;
struct st_h2o_socket_t;

namespace almondcart {

/// Holds signals that stop or reload the process until an event loop watches them. Called first in
/// `main`, so that a signal during the start neither ends the process nor is lost.
void hold_control_signals();

/// Single-threaded event loop of a process. Timers use CLOCK_BOOTTIME, unlike h2o's own timeouts,
/// which follow the wall clock and expire early or late when it is set.
///
/// Servers and clients on the loop must be destroyed before it. Callbacks run on the loop's thread
/// and may call any function of the loop.
class event_loop
{
public:
    /// Ignores SIGPIPE for the process, so that a write to a closed connection only returns an
    /// error.
    event_loop();
    ~event_loop();
    event_loop(event_loop const&) = delete;
    event_loop& operator=(event_loop const&) = delete;

    /// Runs until `stop()` is called.
    void run();

    /// Runs until `is_done` returns true, which is checked after each round of events.
    void run_until(std::function<bool()> const& is_done);

    /// Ends `run()` after the current callback.
    void stop() { is_stopped_ = true; }

    instant now() const;

    /// Calls `callback` once, `delay` from now.
    timer after(duration delay, std::function<void()> callback);

    /// Calls `callback` every `period`, first one period from now. Calls missed while the process
    /// was paused are skipped.
    timer every(duration period, std::function<void()> callback);

    /// Calls `callback` in the next round of events.
    void post(std::function<void()> callback) { after(duration(0), std::move(callback)); }

    /// Calls `callback` after each round of events until `end_after_each_round(owner)`, which the
    /// callback itself may not call.
    void after_each_round(void const* owner, std::function<void()> callback);
    void end_after_each_round(void const* owner);

    /// Calls `callback` for each SIGTERM or SIGINT instead of the default action.
    void on_stop_signal(std::function<void()> callback);

    /// Calls `callback` for each SIGHUP instead of the default action.
    void on_reload_signal(std::function<void()> callback);

    /// Calls `callback` whenever `fd` is readable. The loop owns `fd` and closes it in `unwatch`.
    st_h2o_socket_t* watch(int fd, std::function<void()> callback);
    void unwatch(st_h2o_socket_t* socket);

    /// Keeps `object` alive until its owner calls `release`; used by a server whose connections are
    /// still being closed when it is destroyed.
    void retain(std::shared_ptr<void> object);
    void release(void const* object);

    st_h2o_evloop_t* native() { return loop_; }

private:
    friend class timer;

    using timer_key = std::pair<instant, std::uint64_t>;

    void watch_signals(std::initializer_list<int> numbers, std::function<void()> const& callback);
    timer add_timer(duration delay, duration period, std::function<void()> callback);
    void cancel(detail::timer_entry& entry);
    bool run_due_timers();
    void run_once(duration wait_limit);
    duration wait_time(duration wait_limit) const;

    st_h2o_evloop_t* loop_;
    bool is_stopped_ = false;
    std::uint64_t next_sequence_ = 0;
    std::map<timer_key, std::shared_ptr<detail::timer_entry>> timers_;
    std::map<st_h2o_socket_t*, std::unique_ptr<std::function<void()>>> watches_;
    std::map<void const*, std::shared_ptr<void>> retained_;
    std::map<void const*, std::function<void()>> round_callbacks_;
    std::function<void()> stop_signal_callback_;
    std::function<void()> reload_signal_callback_;
};

} // namespace almondcart
