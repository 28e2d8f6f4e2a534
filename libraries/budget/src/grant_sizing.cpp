#include <almondcart/budget/grant_sizing.hpp>

#include <algorithm>

namespace almondcart {

using namespace std::chrono_literals;

sizing_policy policy_of(budget_preference preference)
{
    // Both horizons cover a network partition of one hour.
    if (preference == budget_preference::overspend)
        return {1h, 0.6, 0.75, 1.5, 15s};
    return {2h, 0.9, 0.9, 2.0, 60s};
}

token_count target_free(sizing_policy const& policy, sizing_input const& input)
{
    if (input.own_demand <= 0)
        return 0;
    auto const wanted = double(input.own_demand) * double(policy.horizon.count()) / 1000;
    auto const share =
        double(input.own_demand) / double(std::max(input.own_demand, input.all_demand));
    auto const cap = share * policy.fraction * double(std::max<token_count>(0, input.unspent));
    return token_count(std::min(wanted, cap));
}

token_count tokens_to_draw(sizing_policy const& policy, sizing_input const& input)
{
    if (input.unallocated <= 0)
        return 0;
    auto const target = target_free(policy, input);
    auto const is_low = double(input.free) < policy.draw_below * double(target);
    auto const refill = is_low ? target - input.free : 0;
    auto const missing = input.waiting > input.free ? input.waiting - input.free : 0;
    return std::min(std::max(refill, missing), input.unallocated);
}

token_count tokens_to_return(sizing_policy const& policy, sizing_input const& input)
{
    if (input.waiting > 0)
        return 0;
    auto const target = target_free(policy, input);
    if (double(input.free) <= policy.return_above * double(target))
        return 0;
    return input.free - target;
}

} // namespace almondcart
