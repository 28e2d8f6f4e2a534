#pragma once

#include <almondcart/core/instant.hpp>

#include <algorithm>
#include <cstdint>

namespace almondcart::forwarding {

/// Estimates the tokens per second that clients of one account request. The result is the higher of
/// a short-term average, which follows bursts, and a long-term one, which bridges pauses.
class token_demand
{
public:
    /// Initializes both averages with the estimate of another process.
    void start(double per_s, instant now);

    void add(std::int64_t tokens) { window_tokens_ += static_cast<double>(tokens); }

    /// Updates the averages with the tokens added since the last call.
    void update(instant now);

    double per_s() const { return std::max(recent_per_s_, long_per_s_); }

private:
    double recent_per_s_ = 0;
    double long_per_s_ = 0;
    double window_tokens_ = 0; ///< since `updated_`
    instant updated_{};
};

} // namespace almondcart::forwarding
