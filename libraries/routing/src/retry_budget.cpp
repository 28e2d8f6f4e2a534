#include <almondcart/routing/retry_budget.hpp>

#include <algorithm>
#include <chrono>
#include <utility>

namespace almondcart {

namespace {

/// A sum of fractions, such as ten times 0.1, can be slightly below the exact integer.
constexpr double rounding_tolerance = 1e-9;

} // namespace

retry_budget::retry_budget(clock_function clock, retry_budget_settings settings)
    : clock_(std::move(clock))
    , settings_(settings)
    , available_(std::min(settings.burst, settings.min_retries_per_s))
    , last_refill_(clock_())
{}

void retry_budget::count_request()
{
    refill();
    available_ = std::min(settings_.burst, available_ + settings_.retry_ratio);
}

bool retry_budget::try_retry(failed_attempt const& attempt)
{
    if (!attempt.is_idempotent || attempt.has_first_byte)
        return false;
    refill();
    if (available_ < 1 - rounding_tolerance)
        return false;
    available_ -= 1;
    return true;
}

double retry_budget::available() const
{
    auto const elapsed_s = std::chrono::duration<double>(clock_() - last_refill_).count();
    return std::min(settings_.burst, available_ + elapsed_s * settings_.min_retries_per_s);
}

void retry_budget::refill()
{
    available_ = available();
    last_refill_ = clock_();
}

} // namespace almondcart
