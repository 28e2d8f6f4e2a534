#pragma once

#include <almondcart/core/instant.hpp>

namespace almondcart::forwarding {

/// Outcome of one attempt, as far as it concerns the upstream's health.
enum class attempt_result
{
    success,
    error_response, ///< a complete response that reports a failure of the upstream
    full,           ///< rejected without running, because the upstream is at capacity
    lost,           ///< connection failure, interruption, timeout or malformed response
};

/// Tracks the health of one upstream from the attempts of this gateway. Consecutive lost attempts
/// block the upstream with exponential backoff; after each block the next attempt decides.
class upstream_health
{
public:
    void record(attempt_result result, instant now);

    /// Whether requests may be sent to the upstream now.
    bool is_available(instant now) const { return now >= blocked_until_; }

    /// Smoothed share of failed attempts, from 0 to 1.
    double failure_share() const { return failure_share_; }

    instant blocked_until() const { return blocked_until_; }

private:
    instant blocked_until_{};
    int consecutive_losses_ = 0;
    double failure_share_ = 0;
};

} // namespace almondcart::forwarding
