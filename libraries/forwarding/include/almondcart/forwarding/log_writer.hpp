#pragma once

#include <almondcart/core/clock.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace almondcart::forwarding {

/// One append operation. The log applies the appends of an epoch in the order of their sequence
/// numbers, each at most once, and rejects appends of any epoch lower than the highest it has seen.
template<typename Record>
struct log_append
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::vector<Record> records;
};

enum class append_outcome
{
    appended,
    rejected,        ///< the log refused the call or was unreachable; nothing was appended
    unknown,         ///< no response; the records may be on the log now or appear there later
    fenced,          ///< the log has seen a higher epoch of this writer
    out_of_sequence, ///< the log expects another sequence number
};

struct append_result
{
    append_outcome outcome = append_outcome::unknown;
    std::int64_t offset = 0; ///< of the first record; valid if `outcome` is `appended`
};

/// Result of `log_writer::write`.
enum class write_outcome
{
    appended,
    not_appended,
    uncertain, ///< the log reported a conflicting state; the records may be on it
};

struct log_writer_settings
{
    duration response_timeout{60}; ///< before an append is resent; grows with the append latency
    duration initial_backoff{50};  ///< after a rejection; doubles with each further one
    duration max_backoff{400};
    duration unknown_backoff{400}; ///< after a lost connection
};

/// Writes the records of one VM to a topic of the log. One append is in flight at a time and is
/// resent until its outcome is known. The first append starts a new epoch, which fences late
/// appends of earlier processes.
template<typename Record>
class log_writer
{
public:
    using append_type = log_append<Record>;
    using append_function =
        std::function<void(append_type const&, std::function<void(append_result)>)>;

    struct hooks
    {
        clock_function clock;
        append_function append;
        std::function<void(write_outcome, std::vector<Record> const&, std::int64_t offset)> on_end;
    };

    /// `first_epoch` should be higher than the epochs of earlier processes; if the log rejects it,
    /// the writer tries higher ones.
    log_writer(log_writer_settings settings, std::uint64_t first_epoch, hooks hooks);

    /// Resends an unanswered append once its timeout has passed. Must be called periodically.
    void tick();

    /// Whether `write` may be called now.
    bool is_idle() const { return !pending_ && hooks_.clock() >= next_attempt_; }

    /// Whether another process has taken over this writer name. A fenced writer never writes again.
    bool is_fenced() const { return is_fenced_; }

    bool is_writing() const { return pending_.has_value(); }

    void write(std::vector<Record> records);

    /// Time for which the log has failed to accept a write, or zero if no write is outstanding.
    duration stalled_for() const;

    /// Smoothed latency of successful appends.
    duration append_time() const { return append_time_; }

private:
    struct pending_append
    {
        append_type append;
        instant first_sent{};
        instant last_sent{};
        int sent_count = 0;
        bool is_in_flight = false;
        bool is_unknown = false; ///< a copy sent earlier may still take effect
    };

    void send();
    void check_timeout();
    void handle_result(append_result const& result, duration time);
    void handle_fenced();
    void schedule_retry();
    void complete(write_outcome outcome, std::int64_t offset);

    log_writer_settings settings_;
    hooks hooks_;
    std::uint64_t epoch_;
    std::uint64_t next_sequence_ = 1;
    std::optional<pending_append> pending_;
    std::optional<instant> failing_since_;
    duration append_time_{0};
    duration backoff_{0};
    instant next_attempt_{};
    bool has_appended_ = false; ///< in the current epoch
    bool is_fenced_ = false;
};

} // namespace almondcart::forwarding
