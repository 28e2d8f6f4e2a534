#pragma once

#include <almondcart/core/instant.hpp>

#include <cstdint>
#include <optional>

namespace almondcart::forwarding {

/// Estimates the tokens per second that clients of one account request. The result is the higher of
/// a short-term average, which follows bursts, and a long-term one, which bridges pauses. Both are
/// corrected for the time before the first request, which says nothing about the demand.
class token_demand
{
public:
    /// Initializes both averages with the estimate of another process.
    void start(double per_s, instant now);

    void add(std::int64_t tokens) { window_tokens_ += static_cast<double>(tokens); }

    /// Updates the averages with the tokens added since the last call.
    void update(instant now);

    double per_s() const;

private:
    double recent_per_s_ = 0;
    double long_per_s_ = 0;
    double window_tokens_ = 0;     ///< since `updated_`
    std::optional<instant> begin_; ///< of the demand; nothing if its estimate was taken over
    std::optional<instant> updated_;
};

} // namespace almondcart::forwarding
