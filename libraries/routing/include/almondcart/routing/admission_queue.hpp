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

/// Request that waits for a slot.
struct admission_entry
{
    std::uint64_t ticket = 0; ///< chosen by the caller, unique among entries
    std::string account;
    std::string kind; ///< requests of one kind take about the same time
    int priority = 0; ///< 0 is the highest
    instant deadline; ///< for the first byte of the answer
};

struct admission_settings
{
    std::size_t capacity = 1024; ///< entries that wait, over all priorities
    /// Share of the slots that only the highest priority may fill, so that interactive work does
    /// not wait for a long request of a lower priority to end. Nothing is kept while none arrives.
    double interactive_share = 0.2;
    /// Slots are also kept for the interactive work that arrives on average, plus this many
    /// standard deviations of a Poisson count, as far as it does not run already.
    double interactive_deviations = 2;
    duration initial_hold_time{500};  ///< slot occupancy assumed of a kind not yet measured
    duration initial_first_byte{100}; ///< time from dispatch to first byte, likewise
    /// Estimated waits are multiplied by this before they are compared with the time that is left.
    double safety_factor = 1.0;
};

struct admission_hooks
{
    /// The request has a slot. `admission_queue::finished` gives it back.
    std::function<void(std::uint64_t ticket)> dispatch;

    /// A queued request was refused; it did not run. Called for `deadline_passed` and for entries
    /// that were shed or can no longer meet their deadline (`overloaded`).
    std::function<void(std::uint64_t ticket, refusal const&)> refuse;
};

/// Queue of one pool in front of its slots. Refuses early what cannot meet its deadline, sheds the
/// lowest priority first, and takes accounts of one priority in turn. Hooks may be called from any
/// non-const member function, and may call the queue.
class admission_queue
{
public:
    static constexpr int priority_count = 10;

    admission_queue(clock_function clock, admission_hooks hooks, admission_settings settings = {});

    /// Queues the request, or dispatches it through the hook. Returns a refusal, without calling a
    /// hook, if its deadline has passed, cannot be met, or the queue is full of work that is not
    /// less important.
    std::optional<refusal> try_enqueue(admission_entry const& entry);

    /// Number of requests that may run at once; usually `upstream_selector::concurrency_limit`.
    void set_limit(int limit);

    /// First byte of a dispatched request was seen.
    void first_byte(std::uint64_t ticket);

    /// A dispatched request ended and frees its slot. `is_measured` is false for a request that
    /// ended early, whose time says nothing about its kind.
    void finished(std::uint64_t ticket, bool is_measured = true);

    /// Removes a request whose caller has gone. Returns false if it was not waiting.
    bool cancel(std::uint64_t ticket);

    /// Refuses expired entries and dispatches what has a slot.
    void tick();

    /// Estimated time until a request that is queued now would be dispatched.
    duration estimated_wait(admission_entry const& entry) const;

    std::size_t waiting() const { return waiting_; }
    std::size_t waiting(int priority) const;
    int running() const { return static_cast<int>(running_.size()); }
    int limit() const { return limit_; }

private:
    struct priority_class
    {
        std::map<std::string, std::deque<admission_entry>> accounts;
        std::deque<std::string> turns; ///< accounts with entries, next one first
        std::size_t size = 0;
        double work_rate = 0;   ///< slots that this priority's arrivals keep busy, smoothed
        double work_recent = 0; ///< slot milliseconds that arrived since `rates_since_`
    };
    struct kind_times
    {
        double hold_ms = 0;
        double first_byte_ms = 0;
        double first_byte_deviation_ms = 0; ///< mean absolute deviation
        instant last_first_byte;

        double latest_first_byte_ms() const;
    };
    struct running_entry
    {
        std::string kind;
        int priority = 0;
        instant started;
        bool has_first_byte = false;
    };

    void pump();
    bool dispatch_next();
    int limit_of(int priority) const;
    admission_entry take_next(priority_class& from);
    void removed_from(priority_class& queue, std::string const& account, std::size_t count = 1);
    void drop_expired(std::vector<std::pair<std::uint64_t, refusal>>& refused);
    bool shed_below(int priority);
    refusal overloaded(admission_entry const& entry, std::string_view detail) const;
    kind_times times_of(std::string const& kind) const;
    double work_ahead_ms(admission_entry const& entry) const;
    void update_rates();

    clock_function clock_;
    admission_hooks hooks_;
    admission_settings settings_;
    std::array<priority_class, priority_count> classes_;
    std::unordered_map<std::uint64_t, running_entry> running_;
    std::unordered_map<std::string, kind_times> kinds_;
    int running_interactive_ = 0;
    std::size_t waiting_ = 0;
    int limit_ = 0;
    instant rates_since_;
    bool is_pumping_ = false;
};

} // namespace almondcart
