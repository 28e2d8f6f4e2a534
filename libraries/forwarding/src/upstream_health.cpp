#include <almondcart/forwarding/upstream_health.hpp>

#include <algorithm>

namespace almondcart::forwarding {

namespace {

/// First time without work after a lost attempt; it doubles with each further one.
constexpr duration first_block{500};
constexpr duration longest_block{4000};

/// Time without work after an upstream had no place.
constexpr duration full_block{100};

/// Weight of the newest attempt in the failure share.
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
        blocked_until_ = std::max(blocked_until_, now + full_block);
        return;
    }
    if (result != attempt_result::lost)
    {
        consecutive_losses_ = 0;
        return;
    }
    constexpr int doubling_limit = 3;
    // One lost answer of a busy upstream says little; several in a row mean that it is down.
    ++consecutive_losses_;
    if (consecutive_losses_ < 2)
        return;
    auto const block = first_block * (1 << std::min(consecutive_losses_ - 2, doubling_limit));
    blocked_until_ = now + std::min<duration>(block, longest_block);
}

} // namespace almondcart::forwarding
