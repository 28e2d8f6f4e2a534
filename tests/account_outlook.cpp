#include <almondcart/forwarding/account_outlook.hpp>
#include <almondcart/forwarding/token_demand.hpp>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

using namespace almondcart;
using namespace almondcart::forwarding;

namespace {

/// One of four gateways with equal demand. `covered_s` seconds of all demand are left.
account_outlook one_of_four(double covered_s)
{
    account_outlook it;
    it.demand_per_s = 20'000;
    it.others_demand_per_s = 60'000;
    auto const left = static_cast<std::int64_t>(covered_s * 80'000);
    it.unclaimed_tokens = left / 2;
    it.free_tokens = left / 8;
    it.others_free_tokens = left - it.unclaimed_tokens - it.free_tokens;
    it.largest_request = 12'000;
    return it;
}

/// Tokens that a report of `it` allows to spend by `elapsed` after it.
std::int64_t allowed(account_outlook const& it, duration elapsed)
{
    return it.limit_spending(1'000).limit_after(elapsed) - 1'000;
}

} // namespace

// A long prompt arrives in a log outage while the total is hardly used. Guards against a limit that
// follows the average size of requests.
Test(account_outlook, a_long_prompt_is_allowed_in_an_outage_while_much_is_left)
{
    auto it = one_of_four(300);
    it.demand_per_s = 1'000;
    it.largest_request = 15'000;
    cr_assert_geq(allowed(it, duration(0)), 15'000);
}

// Guards against refusing requests in an outage of ten seconds while most of a total is left.
Test(account_outlook, an_outage_is_covered_while_much_is_left)
{
    cr_assert_geq(allowed(one_of_four(60), duration(10'000)), 10 * 20'000);
}

// All gateways die in an outage near the end of a total. Guards against losing most of what is left
// because each of them may have spent its share.
Test(account_outlook, an_outage_near_the_end_of_a_total_may_lose_only_part_of_it)
{
    for (double const covered_s : {1.0, 5.0, 10.0, 20.0, 40.0})
    {
        auto const it = one_of_four(covered_s);
        auto const lost = 4 * allowed(it, duration(60'000));
        cr_assert_leq(lost, static_cast<std::int64_t>(covered_s * 80'000 * 0.3), "%f", covered_s);
    }
}

// All gateways are killed at once and start again at once. Guards against many gateways that each
// may have spent a large request: together they would lose more than is left.
Test(account_outlook, gateways_that_are_killed_at_once_lose_little_of_the_rest)
{
    account_outlook it;
    it.demand_per_s = 500;
    it.others_demand_per_s = 99 * 500;
    it.unclaimed_tokens = 1'000'000;
    it.largest_request = 15'000;
    cr_assert_leq(100 * allowed(it, duration(0)), 1'000'000 / 10);
}

// Guards against a limit that allows less and less after each report without spending.
Test(account_outlook, the_limit_does_not_depend_on_who_holds_the_rest)
{
    auto const spread = one_of_four(10);
    auto claimed = spread;
    claimed.others_free_tokens += claimed.unclaimed_tokens;
    claimed.unclaimed_tokens = 0;
    cr_assert_eq(allowed(spread, duration(5'000)), allowed(claimed, duration(5'000)));
}

// Seen on sandshare-large: a request needs 10,930 tokens, the gateway holds 69,654 and may spend
// 465, because its demand has been low, while most of the total is unclaimed. Guards against limits
// that follow the demand estimate alone.
Test(account_outlook, a_jump_in_demand_is_served_from_what_is_held_while_the_total_is_fresh)
{
    account_outlook it;
    it.demand_per_s = 40;
    it.others_demand_per_s = 48'000;
    it.unclaimed_tokens = 5'414'483 - 868'724;
    it.free_tokens = 69'654;
    it.others_free_tokens = 600'000;
    it.largest_request = 930;
    cr_assert_geq(allowed(it, duration(0)), 10'930);
    cr_assert_geq(allowed(it, duration(4'000)), 3 * 10'930);
}

// Guards against limits of single gateways that add up to more than the bounds of all: 5 in 100 of
// the rest at once and 25 in 100 more over an outage, whoever holds the rest and has the demand.
Test(account_outlook, all_gateways_together_may_lose_only_a_part_of_the_rest)
{
    bool const is_held = rc::check(
        "the sum of all limits is a bounded share of the rest",
        []
        {
            auto const count = *rc::gen::inRange<std::size_t>(1, 60);
            auto const number = [](std::int64_t limit)
            { return *rc::gen::inRange<std::int64_t>(0, limit); };
            auto const unclaimed = number(*rc::gen::element<std::int64_t>(1, 100'000, 10'000'000));
            std::vector<account_outlook> all(count);
            double demand = 0;
            std::int64_t free = 0;
            for (auto& it : all)
            {
                it.demand_per_s = static_cast<double>(1 + number(50'000));
                it.free_tokens = number(*rc::gen::element<std::int64_t>(1, 1'000, 300'000));
                it.largest_request = number(20'000);
                demand += it.demand_per_s;
                free += it.free_tokens;
            }
            std::int64_t at_once = 0;
            std::int64_t in_all = 0;
            for (auto& it : all)
            {
                it.unclaimed_tokens = unclaimed;
                it.others_demand_per_s = demand - it.demand_per_s;
                it.others_free_tokens = free - it.free_tokens;
                at_once += allowed(it, duration(0));
                in_all += allowed(it, duration(3'600'000));
            }
            auto const left = unclaimed + free;
            RC_ASSERT(at_once <= left * 5 / 100 + 1);
            RC_ASSERT(in_all <= left * 30 / 100 + 1);
        });
    cr_assert(is_held);
}

// Guards against a successor that takes what its predecessor could spend of its held tokens for the
// size of one request, and allows that in its own reports, each time more.
Test(account_outlook, restarts_do_not_raise_the_limit)
{
    auto it = one_of_four(300);
    it.largest_request = 2'000;
    auto const first = allowed(it, duration(0));
    for (int n = 0; n < 5; ++n)
        it.largest_request = account_outlook::estimate_largest_request(
            it.limit_spending(0), static_cast<std::int64_t>(it.demand_per_s));
    cr_assert_leq(it.largest_request, 20'000);
    cr_assert_leq(allowed(it, duration(0)), first);
}

// All gateways are killed when little is left of a total. Guards against writing off there what is
// written off earlier, which leaves 2 to 3 in 100 of a total unused.
Test(account_outlook, less_may_be_lost_near_the_end_of_a_total)
{
    auto it = one_of_four(12);
    auto const early = allowed(it, duration(60'000));
    it.total_tokens = 12 * 80'000 * 5;
    cr_assert_leq(allowed(it, duration(0)), it.free_tokens / 4);
    cr_assert_leq(allowed(it, duration(60'000)), early * 6 / 10);
    cr_assert_gt(allowed(it, duration(60'000)), 0);
    it.total_tokens = 12 * 80'000 * 2;
    cr_assert_eq(allowed(it, duration(60'000)), early, "half of the total is left");
}

// Guards against tokens that stay with a gateway without requests while others lack them, and
// against taking them from one that has requests.
Test(account_outlook, idle_gateways_give_up_the_last_tokens)
{
    account_outlook it;
    it.demand_per_s = 2'000;
    it.others_demand_per_s = 60'000;
    it.free_tokens = 20'000;
    it.others_free_tokens = 80'000;
    it.unclaimed_tokens = 90'000;
    it.total_tokens = 1'000'000;
    duration const horizon(15'000);
    cr_assert_eq(it.excess_free(5'000, horizon, true), 15'000);
    cr_assert_eq(it.excess_free(5'000, horizon, false), 0);
    cr_assert_eq(it.gift(1'000, 18'000, 20'000, true), 18'000);
    cr_assert_eq(it.gift(1'000, 18'000, 20'000, false), 10'000);
    it.unclaimed_tokens = 200'000;
    cr_assert_eq(it.excess_free(5'000, horizon, true), 0);
    cr_assert_eq(it.gift(1'000, 18'000, 20'000, true), 10'000);
    cr_assert_eq(it.gift(30'000, 30'000, 20'000, true), 20'000, "no more than is available");
}

// Guards against overdrawing when the total is topped down below what is claimed.
Test(account_outlook, nothing_is_allowed_beyond_what_was_spent_when_nothing_is_left)
{
    auto it = one_of_four(0);
    cr_assert_eq(allowed(it, duration(60'000)), 0);
    cr_assert_eq(it.target_free(duration(15'000)), 0);
    it.free_tokens = -5'000;
    cr_assert_eq(allowed(it, duration(60'000)), 0);
}

// Guards against taking the quiet time before the first request for a low demand: after two seconds
// of steady traffic the estimate has reached it, so that an outage then does not find low limits.
Test(token_demand, a_new_demand_is_known_within_two_seconds)
{
    token_demand it;
    instant now{duration(100'000)};
    it.update(now);
    for (int n = 0; n < 20; ++n)
    {
        it.add(1'000);
        it.update(now);
        now = now + duration(100);
    }
    it.update(now);
    cr_assert_geq(it.per_s(), 9'500);
    cr_assert_leq(it.per_s(), 10'500);
}

// Guards against an estimate that extrapolates a single request.
Test(token_demand, one_request_is_not_taken_for_a_steady_demand)
{
    token_demand it;
    instant now{duration(100'000)};
    it.add(10'000);
    it.update(now);
    it.update(now + duration(50));
    cr_assert_leq(it.per_s(), 10'000);
    it.update(now + duration(5'000));
    cr_assert_leq(it.per_s(), 2'500);
}

// Guards against correcting an estimate that a predecessor has made over a longer time.
Test(token_demand, an_estimate_that_was_taken_over_is_kept)
{
    token_demand it;
    instant const now{duration(100'000)};
    it.start(5'000, now);
    cr_assert_eq(static_cast<int>(it.per_s()), 5'000);
    it.update(now + duration(10));
    cr_assert_leq(it.per_s(), 5'000);
}
