#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/forwarding/draw_record.hpp>

#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

namespace almondcart::forwarding {

/// Append of one writer. The log takes the appends of an epoch in the order of their sequence
/// numbers, each at most once, and none of a lower epoch after one of a higher epoch.
struct draw_append
{
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    std::vector<draw_record> records;
};

enum class append_outcome
{
    appended,
    rejected,        ///< the log refused the call or was not reached; nothing was appended
    unknown,         ///< no answer; the records may be on the log, or get there later
    fenced,          ///< the log knows a higher epoch of this writer
    out_of_sequence, ///< the log expects another sequence number
};

struct append_result
{
    append_outcome outcome = append_outcome::unknown;
    std::int64_t offset = 0; ///< of the first record, if appended
};

/// How a write ended.
enum class write_outcome
{
    appended,
    not_appended,
    uncertain, ///< the log disagrees about what it has; the records may be on it
};

struct draw_writer_settings
{
    duration response_timeout{60}; ///< after which an append is sent again; longer for a slow log
    duration initial_backoff{50};  ///< after a refusal; it doubles
    duration max_backoff{400};
    duration unknown_backoff{400}; ///< after a connection was lost
};

/// Writes draw records of one VM to the log: one append at a time, sent again until its outcome is
/// known. Its first append brings an epoch into force, which shuts out appends of earlier processes
/// that are still under way.
class draw_writer
{
public:
    using append_function =
        std::function<void(draw_append const&, std::function<void(append_result)>)>;

    struct hooks
    {
        clock_function clock;
        append_function append;
        std::function<void(write_outcome, std::vector<draw_record> const&, std::int64_t offset)>
            on_end;
    };

    /// `first_epoch` should be higher than that of earlier processes; if it is not, higher ones
    /// are tried.
    draw_writer(draw_writer_settings settings, std::uint64_t first_epoch, hooks hooks);

    /// Sends again what has no answer. To be called often.
    void tick();

    /// Whether `write` may be called.
    bool is_idle() const { return !pending_ && hooks_.clock() >= next_attempt_; }

    /// Whether another process writes under this name, so that nothing can be written any more.
    bool is_fenced() const { return is_fenced_; }

    bool is_writing() const { return pending_.has_value(); }

    void write(std::vector<draw_record> records);

    /// Time since which the log has taken nothing although it should have.
    duration stalled_for() const;

    /// Smoothed time from sending an append to the answer.
    duration append_time() const { return append_time_; }

private:
    struct pending_append
    {
        draw_append append;
        instant first_sent{};
        instant last_sent{};
        int sent_count = 0;
        bool is_in_flight = false;
        bool is_unknown = false; ///< an earlier copy may take effect
    };

    void send();
    void check_answer();
    void finish(append_result const& result, duration time);
    void finish_fenced();
    void retry_later();
    void conclude(write_outcome end, std::int64_t offset);

    draw_writer_settings settings_;
    hooks hooks_;
    std::uint64_t epoch_;
    std::uint64_t next_sequence_ = 1;
    std::optional<pending_append> pending_;
    std::optional<instant> failing_since_;
    duration append_time_{0};
    duration retry_{0};
    instant next_attempt_{};
    bool has_appended_ = false; ///< in this epoch
    bool is_fenced_ = false;
};

} // namespace almondcart::forwarding
