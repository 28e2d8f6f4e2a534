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

/// Grant of `tokens` for `holder`, appended beside its own draws.
void grant_to(router& holder, token_count tokens)
{
    holder.log.append({holder.id, ++holder.sequence, grant_record{season, tokens, 1}});
    holder.read();
}

bool is_balanced(router const& it)
{
    auto const* held = it.holder.find_account(season);
    return held == nullptr || std::all_of(
                                  held->grants().begin(),
                                  held->grants().end(),
                                  [](auto const& item) { return item.second.is_balanced(); });
}

struct one_router
{
    one_router(token_count total)
    {
        start_budget(log, total);
        it.read();
    }

    manual_clock clock;
    log_stream log;
    router it{"router-1", clock, log};
};

} // namespace

// Guards against a false refusal because no single grant covers the worst case.
Test(budget_holder, reservation_spans_grants)
{
    one_router fleet(1000);
    grant_to(fleet.it, 60);
    grant_to(fleet.it, 60);
    fleet.it.reserve(1, 100);
    cr_assert_eq(fleet.it.granted.size(), 1);
    cr_assert_eq(fleet.it.granted[0].parts.size(), 2);
    cr_assert_eq(total_of(fleet.it.granted[0].parts), 100);
    cr_assert(is_balanced(fleet.it));
}

// Guards against small requests taking every free token while a large one waits until its deadline.
Test(budget_holder, large_request_is_not_starved)
{
    one_router fleet(120);
    grant_to(fleet.it, 120);
    fleet.it.reserve(1, 30);
    fleet.it.reserve(2, 100);
    fleet.clock.advance(duration(600));
    fleet.it.reserve(3, 20);
    cr_assert_eq(fleet.it.granted.size(), 1);
    fleet.it.holder.release(fleet.it.dispatch(1));
    cr_assert_eq(fleet.it.granted.size(), 3);
    cr_assert(fleet.it.granted[1].request == request_of(2));
}

// Guards against a repeated transfer being debited once more, which strands tokens, and against a
// delayed repeat of an older one being answered with new tokens.
Test(budget_holder, repeated_transfer_returns_same_parts)
{
    one_router fleet(1000);
    grant_to(fleet.it, 100);
    transfer_id const first{{"router-2", "1"}, 1};
    transfer_id const second{{"router-2", "1"}, 2};
    auto const parts = fleet.it.holder.transfer_out(first, season, 30).value();
    cr_assert(fleet.it.holder.transfer_out(first, season, 30).value() == parts);
    cr_assert_eq(total_of(fleet.it.holder.transfer_out(second, season, 30).value()), 30);
    cr_assert(fleet.it.holder.transfer_out(first, season, 30).value().empty());
    cr_assert_eq(fleet.it.holder.find_account(season)->free(), 40);
    cr_assert(is_balanced(fleet.it));
}

// Guards against a response that arrives twice creating tokens.
Test(budget_holder, transfer_is_credited_once)
{
    one_router fleet(1000);
    grant_to(fleet.it, 100);
    router other("router-2", fleet.clock, fleet.log);
    other.read();
    auto const transfer = other.holder.create_transfer(season);
    auto const parts = fleet.it.holder.transfer_out(transfer, season, 30).value();
    cr_assert_eq(other.holder.transfer_in(transfer, parts), 30);
    cr_assert_eq(other.holder.transfer_in(transfer, parts), 0);
    cr_assert_eq(other.holder.find_account(season)->free(), 30);
}

// Guards against tokens staying charged when another attempt of the request was billed first.
Test(budget_holder, duplicate_usage_is_free_again)
{
    one_router fleet(1000);
    grant_to(fleet.it, 100);
    router other("router-2", fleet.clock, fleet.log);
    other.read();
    grant_to(other, 100);
    fleet.it.read();
    other.reserve(1, 50);
    other.holder.settle(other.dispatch(1), 40);
    fleet.it.reserve(1, 50, 2);
    fleet.it.holder.settle(fleet.it.dispatch(1, 2), 45);
    other.holder.tick();
    other.flush();
    fleet.it.holder.tick();
    fleet.it.outbox.clear();
    fleet.it.read();
    cr_assert_eq(fleet.it.holder.find_account(season)->free(), 100);
    cr_assert(is_balanced(fleet.it));
    cr_assert_eq(fleet.it.state.find_budget(season)->billed, 40);
}

// Guards against work being dispatched under a grant that was closed after the reservation.
Test(budget_holder, closed_grant_is_replaced_before_dispatch)
{
    one_router fleet(1000);
    grant_to(fleet.it, 100);
    auto const first = fleet.it.holder.find_account(season)->grants().begin()->first;
    fleet.it.reserve(1, 50);
    grant_to(fleet.it, 60);
    fleet.log.publish(close_record{first, "test"});
    fleet.it.read();
    auto const value = fleet.it.dispatch(1);
    cr_assert_eq(total_of(value.parts), 50);
    cr_assert_neq(value.parts[0].grant.offset, first.offset);
    fleet.it.reserve(2, 10);
    fleet.log.publish(close_record{value.parts[0].grant, "test"});
    fleet.it.read();
    auto const lost = fleet.it.holder.dispatch(request_of(2), 1);
    cr_assert_eq(code_of(lost.status()), result_code::grant_closed);
    cr_assert(is_balanced(fleet.it));
}

// Guards against tokens of an attempt that may still run being spent again.
Test(budget_holder, abandoned_tokens_stay_charged_until_billed)
{
    one_router fleet(1000);
    grant_to(fleet.it, 100);
    fleet.it.reserve(1, 100);
    auto const value = fleet.it.dispatch(1);
    fleet.it.holder.abandon(value);
    cr_assert_eq(fleet.it.holder.find_account(season)->free(), 0);
    fleet.log.publish(
        usage_record{{{value.request, value.started_ms, first_tokens_of(value.parts, 30)}}});
    fleet.it.read();
    cr_assert_eq(fleet.it.holder.find_account(season)->free(), 70);
    cr_assert(is_balanced(fleet.it));
}

// Guards against a planned stop leaving tokens behind.
Test(budget_holder, shutdown_returns_free_tokens)
{
    one_router fleet(1000);
    grant_to(fleet.it, 100);
    fleet.it.reserve(1, 50);
    auto const value = fleet.it.dispatch(1);
    fleet.it.holder.begin_shutdown();
    fleet.it.settle_log();
    cr_assert(!fleet.it.holder.is_drained());
    fleet.it.holder.settle(value, 20);
    fleet.it.settle_log();
    cr_assert(fleet.it.holder.is_drained());
    cr_assert_eq(fleet.it.state.find_budget(season)->charged, 20);
}

// Guards against each router taking all that is left, so that the others refuse.
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

/// Router whose peers are played by the test.
struct asking_router : one_router
{
    asking_router()
        : one_router(100)
    {
        grant_to(it, 100);
        it.peers = {{"router-2", "1"}, {"router-3", "1"}};
        it.reserve(1, 60);
        it.reserve(2, 60);
    }

    void run(int milliseconds)
    {
        for (int n = 0; n < milliseconds / 10; ++n)
        {
            it.holder.tick();
            broker.tick();
            clock.advance(duration(10));
        }
    }

    std::set<std::string> silent;
    transfer_broker broker{
        {},
        {[this] { return clock.now(); },
         [this] { return it.peers; },
         [this](auto const& peer, auto const&, auto const&, auto, auto callback)
         {
             if (!silent.contains(peer.name))
                 callback(std::vector<grant_part>{});
         }},
        it.holder};
};

} // namespace

// Guards against callers waiting until their deadline although the budget is known to be used up.
Test(transfer_broker, refuses_exhausted_at_once_when_all_responded)
{
    asking_router fleet;
    fleet.run(300);
    cr_assert_eq(fleet.it.refused.at(2), result_code::budget_exhausted);
}

// Guards against "exhausted" while a router that may hold tokens has not responded.
Test(transfer_broker, silent_peer_means_unavailable)
{
    asking_router fleet;
    fleet.silent = {"router-3"};
    fleet.run(900);
    cr_assert(fleet.it.refused.empty());
    fleet.run(300);
    cr_assert_eq(fleet.it.refused.at(2), result_code::budget_unavailable);
}

// Guards against "exhausted" while a top-up may be on a log that does not respond.
Test(transfer_broker, silent_log_means_unavailable)
{
    asking_router fleet;
    fleet.clock.advance(duration(5000));
    fleet.it.refused.clear();
    fleet.it.is_log_read = false;
    fleet.it.reserve(3, 60);
    fleet.run(900);
    cr_assert_eq(fleet.it.refused.count(3), 0);
    fleet.run(300);
    cr_assert_eq(fleet.it.refused.at(3), result_code::budget_unavailable);
}

namespace {

/// Router that recovers the grant of a dead one.
struct recovering_router : one_router
{
    recovering_router()
        : one_router(1000)
    {
        grant_to(dead, 100);
        it.read();
    }

    void run(int seconds)
    {
        for (int n = 0; n < seconds * 4; ++n)
        {
            recovery.tick();
            it.flush();
            it.read();
            clock.advance(duration(250));
        }
    }

    router dead{"router-9", clock, log};
    agent worker{{"agent-1", "1"}, {}, {}, {}};
    bool is_agent_reachable = true;
    grant_recovery recovery{
        {.self = it.id},
        {[this] { return clock.now(); },
         it.hooks().submit,
         it.hooks().shard_state,
         it.hooks().live_peers,
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

// Guards against the remainder being spent twice while work of the dead router still runs, and
// against finished work losing its tokens because its usage was not on the log.
Test(grant_recovery, waits_for_running_work_and_bills_it)
{
    recovering_router fleet;
    fleet.dead.reserve(1, 80);
    auto const work = fleet.dead.dispatch(1);
    cr_assert(!fleet.worker.try_run(work, 70));
    fleet.run(10);
    auto const* budget = fleet.it.state.find_budget(season);
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

// Guards against recovery without the report of an agent that may run work.
Test(grant_recovery, waits_for_unreachable_agent)
{
    recovering_router fleet;
    fleet.is_agent_reachable = false;
    fleet.run(60);
    cr_assert_eq(fleet.it.state.find_budget(season)->charged, 100);
    cr_assert_eq(fleet.recovery.pending_recoveries().at(0).unreachable.size(), 1);
    fleet.is_agent_reachable = true;
    fleet.run(60);
    cr_assert_eq(fleet.it.state.find_budget(season)->charged, 0);
}
