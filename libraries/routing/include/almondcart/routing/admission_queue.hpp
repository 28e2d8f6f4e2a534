#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/core/status.hpp>

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace almondcart {

/// Request waiting for a slot.
struct admission_entry
{
    std::uint64_t ticket = 0; ///< chosen by the caller; unique among the entries
    std::string account;
    std::string kind; ///< requests of the same kind take about the same time
    int priority = 0; ///< 0 is the highest
    instant deadline; ///< for the first byte of the response
};

struct admission_settings
{
    std::size_t capacity = 1024; ///< waiting entries of all priorities
    /// Share of the slots reserved for the highest priority, so that interactive work does not wait
    /// for a long request of a lower priority. Nothing is reserved while no such work arrives.
    double interactive_share = 0.2;
    /// Slots are also reserved for the average offered load of interactive work, plus this many
    /// standard deviations of a Poisson count, minus the interactive work that already runs.
    double interactive_deviations = 2;
    duration initial_hold_time{500};  ///< slot occupancy assumed for a kind without samples
    duration initial_first_byte{100}; ///< time to first byte assumed for a kind without samples
    /// Factor applied to estimated waits before they are compared with the remaining time.
    double safety_factor = 1.0;
};

struct admission_hooks
{
    /// The request has been given a slot. `admission_queue::finished` releases it.
    std::function<void(std::uint64_t ticket)> dispatch;

    /// A queued request was refused and has not run: with `deadline_passed`, or with `overloaded`
    /// if it was shed or can no longer meet its deadline.
    std::function<void(std::uint64_t ticket, refusal const&)> refuse;
};

/// Admission queue in front of the slots of one pool. Refuses requests early if they cannot meet
/// their deadline, sheds the lowest priority first, and serves the accounts of one priority round
/// robin. Hooks may be called from any non-const member function, and may call the queue.
class admission_queue
{
public:
    static constexpr int priority_count = 10;

    admission_queue(clock_function clock, admission_hooks hooks, admission_settings settings = {});

    /// Queues the request, or dispatches it through the hook. Returns a refusal, without calling a
    /// hook, if its deadline has passed or cannot be met, or if the queue is full and holds no work
    /// of a lower priority.
    std::optional<refusal> try_enqueue(admission_entry const& entry);

    /// Sets the number of requests that may run concurrently, usually
    /// `upstream_selector::concurrency_limit`.
    void set_limit(int limit);

    /// The first byte of the response to a dispatched request has arrived.
    void first_byte(std::uint64_t ticket);

    /// A dispatched request ended and releases its slot. `is_measured` is false for a request that
    /// ended early and whose time is not representative of its kind.
    void finished(std::uint64_t ticket, bool is_measured = true);

    /// Removes a request whose client has disconnected. Returns false if it was not waiting.
    bool cancel(std::uint64_t ticket);

    /// Refuses expired entries and dispatches entries to free slots.
    void tick();

    /// Estimated time until a request that is queued now is dispatched.
    duration estimated_wait(admission_entry const& entry) const;

    std::size_t waiting() const { return waiting_; }
    std::size_t waiting(int priority) const;
    int running() const { return static_cast<int>(running_.size()); }
    int limit() const { return limit_; }

private:
    struct priority_class
    {
        std::map<std::string, std::deque<admission_entry>> accounts;
        std::deque<std::string> round_robin; ///< accounts with entries, next account first
        std::size_t size = 0;
        double offered_load = 0;   ///< slots that this priority's arrivals occupy, smoothed
        double recent_work_ms = 0; ///< slot time that arrived since `load_period_start_`
    };
    struct kind_times
    {
        double hold_ms = 0;
        double first_byte_ms = 0;
        double first_byte_deviation_ms = 0; ///< mean absolute deviation
        instant last_first_byte;

        double first_byte_bound_ms() const;
    };
    struct running_entry
    {
        std::string kind;
        int priority = 0;
        instant started;
        bool has_first_byte = false;
    };

    void dispatch_waiting();
    bool dispatch_next();
    int limit_of(int priority) const;
    admission_entry take_next(priority_class& queue);
    void record_removal(priority_class& queue, std::string const& account, std::size_t count = 1);
    void remove_expired(std::vector<std::pair<std::uint64_t, refusal>>& refused);
    bool shed_below(int priority);
    refusal overloaded(admission_entry const& entry, std::string_view detail) const;
    kind_times times_of(std::string const& kind) const;
    double work_ahead_ms(admission_entry const& entry) const;
    void update_offered_load();

    clock_function clock_;
    admission_hooks hooks_;
    admission_settings settings_;
    std::array<priority_class, priority_count> classes_;
    std::unordered_map<std::uint64_t, running_entry> running_;
    std::unordered_map<std::string, kind_times> kinds_;
    int running_interactive_ = 0;
    std::size_t waiting_ = 0;
    int limit_ = 0;
    instant load_period_start_;
    bool is_dispatching_ = false;
};

} // namespace almondcart
