#pragma once

#include <almondcart/core/instant.hpp>

namespace almondcart::forwarding {

/// What one attempt shows about its upstream.
enum class attempt_result
{
    success,
    error_response, ///< a complete answer that reports a failure of the upstream
    full,           ///< refused without running, because all places are taken
    lost,           ///< not connected, broken off, silent or not HTTP
};

/// Judges one upstream from the attempts of this router. After lost attempts the upstream gets no
/// work for a time that doubles; one attempt then decides.
class upstream_health
{
public:
    void record(attempt_result result, instant now);

    /// Whether the upstream may get work now.
    bool is_available(instant now) const { return now >= blocked_until_; }

    /// Smoothed share of attempts that did not succeed, 0 to 1.
    double failure_share() const { return failure_share_; }

    instant blocked_until() const { return blocked_until_; }

private:
    instant blocked_until_{};
    int consecutive_losses_ = 0;
    double failure_share_ = 0;
};

} // namespace almondcart::forwarding
