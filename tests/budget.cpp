#include <almondcart/budget/grant_sizing.hpp>
#include <almondcart/budget/transfer_broker.hpp>

#include <criterion/criterion.h>

#include "budget_fleet.hpp"

using namespace almondcart;
using namespace almondcart::tests;

namespace {

void start_budget(log_stream& log, token_count total)
{
    log.publish(agent_start_record{{"agent-1", "1"}, "m1"});
    log.publish(limit_record{season, total, budget_preference::false_refusals, 1});
}

/// Appends a grant of `tokens` for `holder`, in addition to its own draws.
void grant_to(router& holder, token_count tokens)
{
    holder.log.append({holder.id, ++holder.sequence, grant_record{season, tokens, 1}});
    holder.read();
}

bool is_balanced(router const& owner)
{
    auto const* held = owner.holder.find_account(season);
    return held == nullptr || std::all_of(
                                  held->grants().begin(),
                                  held->grants().end(),
                                  [](auto const& item) { return item.second.is_balanced(); });
}

struct single_router_fleet
{
    single_router_fleet(token_count total)
    {
        start_budget(log, total);
        router_1.read();
    }

    manual_clock clock;
    log_stream log;
    router router_1{"router-1", clock, log};
};

} // namespace

// Guards against a false refusal because no single grant covers the worst case.
Test(budget_holder, reservation_spans_grants)
{
    single_router_fleet fleet(1000);
    grant_to(fleet.router_1, 60);
    grant_to(fleet.router_1, 60);
    fleet.router_1.reserve(1, 100);
    cr_assert_eq(fleet.router_1.granted.size(), 1);
    cr_assert_eq(fleet.router_1.granted[0].parts.size(), 2);
    cr_assert_eq(total_of(fleet.router_1.granted[0].parts), 100);
    cr_assert(is_balanced(fleet.router_1));
}

// Guards against small requests starving a large one by taking every free token.
Test(budget_holder, large_request_is_not_starved)
{
    single_router_fleet fleet(120);
    grant_to(fleet.router_1, 120);
    fleet.router_1.reserve(1, 30);
    fleet.router_1.reserve(2, 100);
    fleet.clock.advance(duration(600));
    fleet.router_1.reserve(3, 20);
    cr_assert_eq(fleet.router_1.granted.size(), 1);
    fleet.router_1.holder.release(fleet.router_1.dispatch(1));
    cr_assert_eq(fleet.router_1.granted.size(), 3);
    cr_assert(fleet.router_1.granted[1].request == request_of(2));
}

// Guards against stranding tokens by debiting a repeated transfer twice, or by responding to a
// delayed repeat of an older transfer with new tokens.
Test(budget_holder, repeated_transfer_returns_same_parts)
{
    single_router_fleet fleet(1000);
    grant_to(fleet.router_1, 100);
    transfer_id const first{{"router-2", "1"}, 1};
    transfer_id const second{{"router-2", "1"}, 2};
    auto const parts = fleet.router_1.holder.transfer_out(first, season, 30).value();
    cr_assert(fleet.router_1.holder.transfer_out(first, season, 30).value() == parts);
    cr_assert_eq(total_of(fleet.router_1.holder.transfer_out(second, season, 30).value()), 30);
    cr_assert(fleet.router_1.holder.transfer_out(first, season, 30).value().empty());
    cr_assert_eq(fleet.router_1.holder.find_account(season)->free(), 40);
    cr_assert(is_balanced(fleet.router_1));
}

// Guards against creating tokens when a transfer response arrives twice.
Test(budget_holder, transfer_is_credited_once)
{
    single_router_fleet fleet(1000);
    grant_to(fleet.router_1, 100);
    router other("router-2", fleet.clock, fleet.log);
    other.read();
    auto const transfer = other.holder.create_transfer(season);
    auto const parts = fleet.router_1.holder.transfer_out(transfer, season, 30).value();
    cr_assert_eq(other.holder.transfer_in(transfer, parts), 30);
    cr_assert_eq(other.holder.transfer_in(transfer, parts), 0);
    cr_assert_eq(other.holder.find_account(season)->free(), 30);
}

// Guards against tokens staying charged after another attempt of the request was billed.
Test(budget_holder, duplicate_usage_is_free_again)
{
    single_router_fleet fleet(1000);
    grant_to(fleet.router_1, 100);
    router other("router-2", fleet.clock, fleet.log);
    other.read();
    grant_to(other, 100);
    fleet.router_1.read();
    other.reserve(1, 50);
    other.holder.settle(other.dispatch(1), 40);
    fleet.router_1.reserve(1, 50, 2);
    fleet.router_1.holder.settle(fleet.router_1.dispatch(1, 2), 45);
    other.holder.tick();
    other.flush();
    fleet.router_1.holder.tick();
    fleet.router_1.outbox.clear();
    fleet.router_1.read();
    cr_assert_eq(fleet.router_1.holder.find_account(season)->free(), 100);
    cr_assert(is_balanced(fleet.router_1));
    cr_assert_eq(fleet.router_1.state.find_budget(season)->billed, 40);
}

// Guards against dispatching work under a grant that was closed after the reservation.
Test(budget_holder, closed_grant_is_replaced_before_dispatch)
{
    single_router_fleet fleet(1000);
    grant_to(fleet.router_1, 100);
    auto const first = fleet.router_1.holder.find_account(season)->grants().begin()->first;
    fleet.router_1.reserve(1, 50);
    grant_to(fleet.router_1, 60);
    fleet.log.publish(close_record{first, "test"});
    fleet.router_1.read();
    auto const value = fleet.router_1.dispatch(1);
    cr_assert_eq(total_of(value.parts), 50);
    cr_assert_neq(value.parts[0].grant.offset, first.offset);
    fleet.router_1.reserve(2, 10);
    fleet.log.publish(close_record{value.parts[0].grant, "test"});
    fleet.router_1.read();
    auto const lost = fleet.router_1.holder.dispatch(request_of(2), 1);
    cr_assert_eq(code_of(lost.status()), result_code::grant_closed);
    cr_assert(is_balanced(fleet.router_1));
}

// Guards against reusing the tokens of an attempt that may still run.
Test(budget_holder, abandoned_tokens_stay_charged_until_billed)
{
    single_router_fleet fleet(1000);
    grant_to(fleet.router_1, 100);
    fleet.router_1.reserve(1, 100);
    auto const value = fleet.router_1.dispatch(1);
    fleet.router_1.holder.abandon(value);
    cr_assert_eq(fleet.router_1.holder.find_account(season)->free(), 0);
    fleet.log.publish(
        usage_record{{{value.request, value.started_ms, first_tokens_of(value.parts, 30)}}});
    fleet.router_1.read();
    cr_assert_eq(fleet.router_1.holder.find_account(season)->free(), 70);
    cr_assert(is_balanced(fleet.router_1));
}

// Guards against a planned shutdown that keeps free tokens charged to the budget.
Test(budget_holder, shutdown_returns_free_tokens)
{
    single_router_fleet fleet(1000);
    grant_to(fleet.router_1, 100);
    fleet.router_1.reserve(1, 50);
    auto const value = fleet.router_1.dispatch(1);
    fleet.router_1.holder.begin_shutdown();
    fleet.router_1.settle_log();
    cr_assert(!fleet.router_1.holder.is_drained());
    fleet.router_1.holder.settle(value, 20);
    fleet.router_1.settle_log();
    cr_assert(fleet.router_1.holder.is_drained());
    cr_assert_eq(fleet.router_1.state.find_budget(season)->charged, 20);
}

// Guards against a router drawing all remaining tokens, so that the others refuse requests.
Test(grant_sizing, target_shrinks_with_budget)
{
    auto const policy = policy_of(budget_preference::false_refusals);
    sizing_input input{1'000'000, 1'000'000, 100, 300, 0, 0};
    auto const full = target_free(policy, input);
    input.unspent = 10'000;
    cr_assert_lt(target_free(policy, input), 10'000 / 3);
    cr_assert_gt(full, target_free(policy, input));
    input.free = 10'000;
    cr_assert_gt(tokens_to_return(policy, input), 0);
}

namespace {

/// Router that lacks tokens for its second request. Its peers respond that they have none.
struct short_router_fleet : single_router_fleet
{
    short_router_fleet()
        : single_router_fleet(100)
    {
        grant_to(router_1, 100);
        router_1.peers = {{"router-2", "1"}, {"router-3", "1"}};
        router_1.reserve(1, 60);
        router_1.reserve(2, 60);
    }

    void run(int milliseconds)
    {
        for (int n = 0; n < milliseconds / 10; ++n)
        {
            router_1.holder.tick();
            broker.tick();
            clock.advance(duration(10));
        }
    }

    std::set<std::string> unresponsive;
    transfer_broker broker{
        {},
        {[this] { return clock.now(); },
         [this] { return router_1.peers; },
         [this](auto const& peer, auto const&, auto const&, auto, auto callback)
         {
             if (!unresponsive.contains(peer.name))
                 callback(std::vector<grant_part>{});
         }},
        router_1.holder};
};

} // namespace

// Guards against clients waiting until their deadline when the budget is known to be exhausted.
Test(transfer_broker, refuses_exhausted_at_once_when_all_responded)
{
    short_router_fleet fleet;
    fleet.run(300);
    cr_assert_eq(fleet.router_1.refused.at(2), result_code::budget_exhausted);
}

// Guards against reporting `budget_exhausted` while a router that may hold tokens is unresponsive.
Test(transfer_broker, unresponsive_peer_means_unavailable)
{
    short_router_fleet fleet;
    fleet.unresponsive = {"router-3"};
    fleet.run(900);
    cr_assert(fleet.router_1.refused.empty());
    fleet.run(300);
    cr_assert_eq(fleet.router_1.refused.at(2), result_code::budget_unavailable);
}

// Guards against reporting `budget_exhausted` while an unresponsive log may hold a top-up.
Test(transfer_broker, unresponsive_log_means_unavailable)
{
    short_router_fleet fleet;
    fleet.clock.advance(duration(5000));
    fleet.router_1.refused.clear();
    fleet.router_1.is_log_read = false;
    fleet.router_1.reserve(3, 60);
    fleet.run(900);
    cr_assert_eq(fleet.router_1.refused.count(3), 0);
    fleet.run(300);
    cr_assert_eq(fleet.router_1.refused.at(3), result_code::budget_unavailable);
}

namespace {

/// Router that recovers the grant of a dead router.
struct recovery_fleet : single_router_fleet
{
    recovery_fleet()
        : single_router_fleet(1000)
    {
        grant_to(dead, 100);
        router_1.read();
    }

    void run(int seconds)
    {
        for (int n = 0; n < seconds * 4; ++n)
        {
            recovery.tick();
            router_1.flush();
            router_1.read();
            clock.advance(duration(250));
        }
    }

    router dead{"router-9", clock, log};
    agent worker{{"agent-1", "1"}, {}, {}, {}};
    bool is_agent_reachable = true;
    grant_recovery recovery{
        {.self = router_1.id},
        {[this] { return clock.now(); },
         router_1.hooks().submit,
         router_1.hooks().shard_state,
         router_1.hooks().live_peers,
         [this](process_id const& process) { return process == dead.id; },
         [] { return std::vector<grant_id>{}; },
         [this](auto const&, auto const& grant, auto callback)
         {
             if (is_agent_reachable)
                 callback(worker.close_grant(grant));
         },
         {}}};
};

} // namespace

// Guards against releasing a dead router's tokens while its work still runs, and against releasing
// tokens that finished work used before its usage is on the log.
Test(grant_recovery, waits_for_running_work_and_bills_it)
{
    recovery_fleet fleet;
    fleet.dead.reserve(1, 80);
    auto const work = fleet.dead.dispatch(1);
    cr_assert(!fleet.worker.try_run(work, 70));
    fleet.run(10);
    auto const* budget = fleet.router_1.state.find_budget(season);
    cr_assert_eq(budget->charged, 100);
    cr_assert_eq(fleet.recovery.pending_recoveries().at(0).running.size(), 1);
    fleet.worker.running.clear();
    fleet.worker.finished.push_back(
        {work.request, work.started_ms, first_tokens_of(work.parts, 70)});
    fleet.run(10);
    cr_assert_eq(budget->billed, 70);
    cr_assert_eq(budget->charged, 70);
    cr_assert(fleet.recovery.pending_recoveries().empty());
}

// Guards against recovering a grant without the report of an agent that may still run work.
Test(grant_recovery, waits_for_unreachable_agent)
{
    recovery_fleet fleet;
    fleet.is_agent_reachable = false;
    fleet.run(60);
    cr_assert_eq(fleet.router_1.state.find_budget(season)->charged, 100);
    cr_assert_eq(fleet.recovery.pending_recoveries().at(0).unreachable.size(), 1);
    fleet.is_agent_reachable = true;
    fleet.run(60);
    cr_assert_eq(fleet.router_1.state.find_budget(season)->charged, 0);
}
