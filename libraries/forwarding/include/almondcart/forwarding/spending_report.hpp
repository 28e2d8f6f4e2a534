#pragma once

#include <almondcart/core/instant.hpp>

#include <cstdint>

namespace almondcart::forwarding {

/// Time at which a record was written, on both clocks of its VM.
struct clock_reading
{
    std::int64_t boot_ms = 0; ///< time since the VM booted; advances while it is suspended
    std::int64_t wall_ms = 0; ///< Unix time; may be adjusted while the VM runs
};

/// Returns an upper bound on the time that has passed on one VM since `then`: the difference of the
/// boot clock, or after a reboot the difference of the wall clock plus `clock_error`.
duration elapsed_upper_bound(clock_reading then, clock_reading now, duration clock_error);

/// Spending report of an owner of drawn tokens. Until its next report is on the log, the owner
/// spends no more than `limit_after` allows, so that a process that finds the report of a crashed
/// predecessor can bound what was spent.
struct spending_report
{
    std::int64_t spent_tokens = 0; ///< total, including what running requests may still consume
    std::int64_t slack_tokens = 0; ///< may be spent beyond `spent_tokens` at once
    std::int64_t rate_per_s = 0;   ///< may be spent in addition per second since the report
    std::int64_t most_tokens = 0;  ///< cap beyond `spent_tokens`, however late the next report is

    /// Maximum total that may be spent by the time `elapsed` after the report.
    std::int64_t limit_after(duration elapsed) const;
};

} // namespace almondcart::forwarding
