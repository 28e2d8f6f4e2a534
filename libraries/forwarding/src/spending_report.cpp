#include <almondcart/core/count.hpp>
#include <almondcart/forwarding/spending_report.hpp>

#include <algorithm>
#include <cstdlib>

namespace almondcart::forwarding {

namespace {

/// Drift between the two clocks up to which the VM counts as not rebooted and its wall clock as not
/// adjusted.
constexpr std::int64_t same_boot_tolerance_ms = 100;

} // namespace

duration elapsed_upper_bound(clock_reading then, clock_reading now, duration clock_error)
{
    auto const boot = now.boot_ms - then.boot_ms;
    auto const wall = now.wall_ms - then.wall_ms;
    if (boot >= 0 && std::abs(boot - wall) <= same_boot_tolerance_ms)
        return duration(boot);
    return std::max(duration(0), duration(wall)) + clock_error;
}

std::int64_t spending_report::limit_after(duration elapsed) const
{
    constexpr double milliseconds_per_second = 1000;
    double const seconds = static_cast<double>(elapsed.count()) / milliseconds_per_second;
    // The elapsed time may be of any length, so the product is limited before it is converted.
    auto const at_rate = static_cast<std::int64_t>(
        std::min(static_cast<double>(rate_per_s) * seconds, static_cast<double>(count_limit)));
    return spent_tokens + std::min(slack_tokens + at_rate, most_tokens);
}

} // namespace almondcart::forwarding
