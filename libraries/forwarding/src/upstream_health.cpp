#include <almondcart/forwarding/upstream_health.hpp>

#include <algorithm>

namespace almondcart::forwarding {

namespace {

/// Duration of a block after consecutive lost attempts; it doubles with each further one.
constexpr duration initial_block{500};
constexpr duration max_block{4000};

/// Duration of a block after an upstream was at capacity.
constexpr duration capacity_block{100};

/// Weight of the newest attempt in the smoothed failure share.
constexpr double newest_weight = 0.1;

} // namespace

void upstream_health::record(attempt_result result, instant now)
{
    bool const is_failure =
        result == attempt_result::lost || result == attempt_result::error_response;
    if (result != attempt_result::full)
        failure_share_ += newest_weight * ((is_failure ? 1.0 : 0.0) - failure_share_);
    if (result == attempt_result::full)
    {
        blocked_until_ = std::max(blocked_until_, now + capacity_block);
        return;
    }
    if (result != attempt_result::lost)
    {
        consecutive_losses_ = 0;
        return;
    }
    constexpr int doubling_limit = 3;
    // A busy upstream may lose a single response; several in a row mean that it is down.
    ++consecutive_losses_;
    if (consecutive_losses_ < 2)
        return;
    auto const block = initial_block * (1 << std::min(consecutive_losses_ - 2, doubling_limit));
    blocked_until_ = now + std::min<duration>(block, max_block);
}

} // namespace almondcart::forwarding
