#pragma once

#include <almondcart/core/instant.hpp>

#include <cstdint>

namespace almondcart::forwarding {

/// When a record was written, on the two clocks of its VM.
struct clock_reading
{
    std::int64_t boot_ms = 0; ///< since the VM started; goes on while it is suspended
    std::int64_t wall_ms = 0; ///< Unix time; may be set while the VM runs
};

/// Time that has passed on one VM since `then`, at the least exact estimate that is safe: the boot
/// clock if the VM has not started anew, else the wall clock with `clock_error` added.
duration elapsed_upper_bound(clock_reading then, clock_reading now, duration clock_error);

/// What the owner of drawn tokens states about its spending. It promises to spend no more than
/// `limit_after` says until its next report is on the log, so that a process which finds the report
/// of a dead predecessor knows how much may be gone.
struct spending_report
{
    std::int64_t spent_tokens = 0; ///< in total, with what running requests may still consume
    std::int64_t slack_tokens = 0;
    std::int64_t rate_per_s = 0;
    std::int64_t most_tokens = 0; ///< beyond `spent_tokens`, however late the next report is

    /// Most that may be spent `elapsed` after the report.
    std::int64_t limit_after(duration elapsed) const;
};

} // namespace almondcart::forwarding
