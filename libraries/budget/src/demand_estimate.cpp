#include <almondcart/budget/demand_estimate.hpp>

#include <algorithm>
#include <cmath>

namespace almondcart {

namespace {

double decay(instant from, instant to, double seconds)
{
    auto const elapsed = std::max<std::int64_t>(0, (to - from).count());
    return std::exp(-double(elapsed) / (1000 * seconds));
}

} // namespace

void demand_estimate::add(token_count tokens, instant now)
{
    fast_ = fast_ * decay(updated_, now, fast_seconds) + double(tokens);
    slow_ = slow_ * decay(updated_, now, slow_seconds) + double(tokens);
    updated_ = std::max(updated_, now);
}

std::int64_t demand_estimate::tokens_per_s(instant now) const
{
    auto const fast = fast_ * decay(updated_, now, fast_seconds) / fast_seconds;
    auto const slow = slow_ * decay(updated_, now, slow_seconds) / slow_seconds;
    return std::llround(std::ceil(std::max(fast, slow) - 1e-3));
}

} // namespace almondcart
