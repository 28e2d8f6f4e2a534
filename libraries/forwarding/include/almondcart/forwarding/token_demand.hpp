#pragma once

#include <almondcart/core/instant.hpp>

#include <algorithm>
#include <cstdint>

namespace almondcart::forwarding {

/// Estimate of the tokens a second that callers of one account ask for: the higher of one that
/// follows bursts and one that bridges pauses between requests.
class token_demand
{
public:
    /// Starts from an estimate of another process.
    void start(double per_s, instant now);

    void add(std::int64_t tokens) { window_tokens_ += static_cast<double>(tokens); }

    /// Takes what was added since the last call into the estimates.
    void update(instant now);

    double per_s() const { return std::max(recent_per_s_, long_per_s_); }

private:
    double recent_per_s_ = 0;
    double long_per_s_ = 0;
    double window_tokens_ = 0; ///< since `updated_`
    instant updated_{};
};

} // namespace almondcart::forwarding
