// I1 to I8 are the invariants listed in docs/design.md.

#include <almondcart/core/json.hpp>

#include <criterion/criterion.h>

#include <csignal>
#include <future>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "support/chat_calls.hpp"
#include "support/fleet.hpp"

using namespace almondcart;
using namespace almondcart::test_support;

namespace {

/// Returns the tokens held by the other routers, as seen by `router`, or nothing if it did not
/// answer or does not know the budget.
std::optional<std::int64_t> tokens_held_by_other_routers(fleet const& cluster, int router)
{
    auto const budget = cluster.budget(router);
    if (!budget.isObject())
        return std::nullopt;
    return budget["charged"].asInt64() - budget["billed"].asInt64() -
           budget["free_here"].asInt64() - budget["reserved_here"].asInt64() -
           budget["pending_here"].asInt64();
}

/// Sends a request, after which the router draws tokens ahead of demand. Returns the billed tokens.
std::int64_t warm_up(fleet const& cluster, int router)
{
    auto const response =
        cluster.send(router, cluster.chat("warm up", "warm-up-" + std::to_string(router), 8));
    expect(response.status == 200, "a first answer, got " + response.body);
    wait_until("a grant", [&] { return cluster.budget(router)["free_here"].asInt64() > 0; });
    return response.json()["usage"]["total_tokens"].asInt64();
}

/// Sends rounds of requests until the remaining tokens cover no worst case. Returns the billed
/// tokens.
std::int64_t spend_all(fleet const& cluster, int router, std::string const& key = "round")
{
    std::int64_t tokens = 0;
    for (int round = 0;; ++round)
    {
        auto chats = begin_chats(cluster, router, key + "-" + std::to_string(round), 8);
        auto const totals = collect(chats);
        tokens += totals.tokens;
        if (totals.answered == 0)
            return tokens;
    }
}

/// A budget that two dozen requests exhaust, and engines fast enough to do so in a test.
fleet_options small_budget()
{
    fleet_options options;
    options.total_tokens = 1'500;
    options.engine_arguments = {"--token-interval-ms", "5"};
    return options;
}

fleet_options crashing_engines()
{
    fleet_options options;
    options.engines = 4;
    options.engine_arguments = {
        "--token-interval-ms", "20", "--crash-marker", "CRASH", "--restart-ms", "500"};
    return options;
}

/// Sends a crashing request through both routers, under several keys at the same time.
void crash(fleet const& cluster)
{
    std::vector<response_future> pending;
    for (int n = 0; n < 6; ++n)
        pending.push_back(begin_request(
            cluster,
            1 + n % 2,
            cluster.chat("CRASH please", "crash-key-" + std::to_string(n), 16)));
    for (auto& response : pending)
        expect(response.get().status != 200, "no answer to the crashing request");
}

constexpr int long_answer = 40;

} // namespace

// Guards I2 and I3: a client whose router died must get the complete answer from another router and
// be billed once.
Test(end_to_end_failures, router_killed_in_stream)
{
    fleet cluster;
    auto const prompt = find_prompt("stream", long_answer);
    auto const request = cluster.stream(prompt, "router-killed-key", long_answer);
    http_call open(cluster.address("router-1"), request);
    expect(open.read_until("data: {"), "the first part of the stream");
    cluster.kill("router-1");
    expect(!open.finish().is_complete, "a stream cut by the death of its router");
    expect_whole_answer(cluster.send_with_retries(2, request), prompt, long_answer);
    expect(cluster.executions("router-killed-key") == 1, "one execution");
    cluster.wait_until_billed(2 + long_answer, {2});
}

// Guards I5: a request must not run twice when its router dies after the intent.
Test(end_to_end_failures, router_killed_after_intent)
{
    fleet_options options;
    options.service_arguments = {"--delay-ms", "1500"};
    fleet cluster(options);
    auto const request = cluster.order("intent-key-1");
    auto lost_response = begin_request(cluster, 1, request);
    wait_until("the execution starts", [&] { return cluster.executions("intent-key-1") == 1; });
    cluster.kill("router-1");
    expect(lost_response.get().status != 200, "a call cut by the death of its router");
    auto const retried = cluster.send_with_retries(2, request);
    expect(retried.status == 200, "the first execution's answer, got " + retried.body);
    expect(cluster.executions("intent-key-1") == 1, "one execution");
    cluster.wait_until_billed(10, {2});
}

// Guards I5: a request must not run twice when its router dies between intent and dispatch.
Test(end_to_end_failures, router_killed_before_dispatch)
{
    fleet cluster;
    auto const appends = [&]
    {
        std::int64_t count = 0;
        auto const streams = cluster.stats("log")["streams"];
        for (auto const& end : streams)
            count += end.asInt64();
        return count;
    };
    // The log stores the intent, but the router does not see it.
    cluster.set_log_fault("lose_answers");
    auto const before = appends();
    auto const request = cluster.order("intent-key-2");
    auto lost_response = begin_request(cluster, 1, request);
    wait_until("the intent is on the log", [&] { return appends() > before; });
    cluster.kill("router-1");
    cluster.set_log_fault("up");
    lost_response.get();
    auto const retried = cluster.send_with_retries(2, request);
    expect(retried.status == 200, "an answer, got " + retried.body);
    expect(cluster.executions("intent-key-2") == 1, "one execution");
}

// Guards I4 and I5: a call that was running when its agent died must never run again.
Test(end_to_end_failures, agent_killed_in_non_idempotent_call)
{
    fleet_options options;
    options.services = 2;
    options.service_arguments = {"--delay-ms", "2000"};
    fleet cluster(options);
    auto const request = cluster.order("agent-killed-key");
    auto const expect_unknown = [&](call_response const& response)
    {
        expect(
            response.code() == 1401 && response.ran() == "unknown",
            "outcome unknown, got " + response.body);
        expect(cluster.executions("agent-killed-key") == 1, "one execution");
    };
    auto lost_response = begin_request(cluster, 1, request);
    wait_until("the execution starts", [&] { return cluster.executions("agent-killed-key") == 1; });
    auto const agent = "agent-" + cluster.find_upstream("agent-killed-key");
    cluster.kill(agent);
    expect_unknown(lost_response.get());
    for (int router : {1, 2})
        expect_unknown(cluster.send(router, request));
    cluster.start(agent);
    cluster.wait_until_ready();
    for (int router : {1, 2})
        expect_unknown(cluster.send(router, request));
}

// Guards I2, I5 and I8: appends whose responses were lost must not be applied twice.
Test(end_to_end_failures, log_answers_lost)
{
    fleet cluster;
    cluster.set_log_fault("lose_answers");
    auto chats = begin_chats(cluster, 1, "lost-answers-1", 4);
    for (auto& pending : begin_chats(cluster, 2, "lost-answers-2", 4))
        chats.push_back(std::move(pending));
    auto order = begin_request(cluster, 1, cluster.order("lost-answers-order"));
    auto const published = cluster.publish(200'000);
    expect(published.exit_code == 0, "accepted, got " + published.output);
    auto const totals = collect(chats);
    expect(totals.answered == 8, "all answered");
    auto const response = order.get();
    expect(response.status == 200, "the order, got " + response.body);
    expect(cluster.stats("log")["lost_answers"].asInt() > 0, "answers were lost");
    cluster.set_log_fault("up");
    cluster.wait_until_billed(totals.tokens + 10);
    expect(cluster.executions("lost-answers-order") == 1, "one execution of the order");
    for (int router : {1, 2})
    {
        expect(cluster.version(router) == 2, "one new version");
        expect(cluster.budget(router)["total"].asInt64() == 200'000, "the new total");
    }
}

// Guards I4 while the log is down: granted tokens remain usable, and non-idempotent requests do not
// run.
Test(end_to_end_failures, log_down)
{
    fleet cluster;
    auto tokens = warm_up(cluster, 1) + warm_up(cluster, 2);
    cluster.set_log_fault("down");
    auto const prompt = find_prompt("down", 12);
    for (int router : {1, 2})
    {
        auto const key = "log-down-key-" + std::to_string(router);
        expect_whole_answer(cluster.send(router, cluster.stream(prompt, key, 12)), prompt, 12);
        expect_whole_answer(
            cluster.send(router, cluster.chat(prompt, key + "-whole", 12)), prompt, 12);
        tokens += 2 * (2 + 12);
    }
    auto const order = cluster.order("log-down-order");
    auto const refused = cluster.send(1, order);
    expect(
        refused.status == 503 && refused.code() == 1203 && refused.ran() == "no",
        "intent not durable, got " + refused.body);
    expect(cluster.executions("log-down-order") == 0, "no execution");
    cluster.set_log_fault("up");
    wait_until("the log is seen", [&] { return cluster.status(1)["log_available"].asBool(); });
    expect(cluster.executions("log-down-order") == 0, "no late execution");
    expect(cluster.send_with_retries(2, order).status == 200, "the order");
    expect(cluster.executions("log-down-order") == 1, "one execution");
    cluster.wait_until_billed(tokens + 10);
}

// Guards I1 and I4: a router that resumes after its grants were recovered must not spend them.
Test(end_to_end_failures, router_frozen_past_recovery)
{
    fleet cluster(small_budget());
    auto const before = warm_up(cluster, 1);
    // Router 2 may learn of the grant later than router 1. Before that it sees none, which does not
    // mean that they were recovered.
    wait_until(
        "router 2 sees the grants of router 1",
        [&] { return tokens_held_by_other_routers(cluster, 2) > 0; });
    cluster.send_signal("router-1", SIGSTOP);
    // These wait in the frozen router's connections and are dispatched when it resumes. Their
    // prompts are longer than the others, so that what those leave unspent covers none of them.
    // They are sent before anything else happens, and their clients begin to wait for a response
    // when the router resumes, so that none of them gives up before.
    auto late_calls = send_chats(cluster, 1, "late-requests", 8);
    wait_until(
        "the frozen router's grants are recovered",
        [&] { return tokens_held_by_other_routers(cluster, 2) == 0; });
    auto spent = spend_all(cluster, 2);
    // Tokens that answers did not use return when they are billed, and may cover another request.
    int pass = 0;
    for (auto more = spent; more > 0; spent += more)
    {
        cluster.wait_until_billed(before + spent, {2});
        more = spend_all(cluster, 2, "rest-" + std::to_string(++pass));
    }
    cluster.send_signal("router-1", SIGCONT);
    auto late = finish_calls(std::move(late_calls));
    auto const late_totals = collect(late);
    expect(late_totals.answered == 0, "late requests are refused");
    expect(cluster.executions("late-requests-key-") == 0, "no refused request ran");
    auto const tokens = before + spent;
    cluster.wait_until_billed(tokens);
    expect(tokens <= 1'500, "no overspend");
}

// Guards I1: two routers drawing on the remainder of a budget must neither overspend it nor lose a
// top-up.
Test(end_to_end_failures, budget_nearly_empty)
{
    fleet cluster(small_budget());
    auto first = begin_chats(cluster, 1, "first", 25);
    auto second = begin_chats(cluster, 2, "second", 25);
    auto const first_totals = collect(first);
    auto const second_totals = collect(second);
    expect(first_totals.refused + second_totals.refused > 0, "refusals");
    cluster.wait_until_billed(first_totals.tokens + second_totals.tokens);
    expect(first_totals.tokens + second_totals.tokens <= 1'500, "no overspend");
    expect(
        cluster.executions("first-key-") + cluster.executions("second-key-") ==
            first_totals.answered + second_totals.answered,
        "no refused request ran");
    expect(cluster.publish(100'000, {"--wait"}).exit_code == 0, "the top-up");
    for (int router : {1, 2})
    {
        auto const request = cluster.chat("after", "after-key-" + std::to_string(router), 16);
        expect(
            cluster.send_with_retries(router, request).status == 200, "an answer after the top-up");
    }
}

// Guards I1 and I8: a partitioned router must not spend tokens of a grant or top-up that it has not
// seen.
Test(end_to_end_failures, partition_during_top_up)
{
    fleet cluster(small_budget());
    auto const before = warm_up(cluster, 1);
    auto const set_cut = [&](bool is_cut)
    {
        for (auto* link : {&cluster.log_link(1), &cluster.peer_link(1), &cluster.peer_link(2)})
            is_cut ? link->cut() : link->heal();
    };
    set_cut(true);
    auto cut_off = begin_chats(cluster, 1, "cut-off", 60);
    auto connected = begin_chats(cluster, 2, "connected", 25);
    expect(cluster.publish(2'500).exit_code == 0, "the top-up");
    auto const first_totals = collect(cut_off);
    auto const second_totals = collect(connected);
    expect(first_totals.refused > 0, "the side that does not see the log runs out of tokens");
    set_cut(false);
    wait_until("the top-up is seen", [&] { return cluster.budget(1)["total"].asInt64() == 2'500; });
    auto late = begin_chats(cluster, 1, "healed", 40);
    auto const third_totals = collect(late);
    auto const tokens = before + first_totals.tokens + second_totals.tokens + third_totals.tokens;
    cluster.wait_until_billed(tokens);
    expect(tokens <= 2'500, "no overspend");
    expect(cluster.executions("cut-off-key-") == first_totals.answered, "no refused request ran");
}

// Guards I7: a graceful stop of a router must not cut a stream and must return its grants.
Test(end_to_end_failures, planned_stop_of_router)
{
    fleet cluster;
    auto const prompt = find_prompt("stop", long_answer);
    http_call open(
        cluster.address("router-1"), cluster.stream(prompt, "router-stop-key", long_answer));
    expect(open.read_until("data: {"), "the first part of the stream");
    auto rest = std::async(std::launch::async, [&] { return open.finish(); });
    expect(cluster.terminate("router-1") == 0, "exit code 0");
    expect_whole_answer(rest.get(), prompt, long_answer);
    cluster.wait_until_billed(2 + long_answer, {2});
    wait_until(
        "the grants are returned", [&] { return tokens_held_by_other_routers(cluster, 2) == 0; });
}

// Guards I6 and I7: a stopping agent must finish its stream and get no new work.
Test(end_to_end_failures, planned_stop_of_agent)
{
    fleet cluster;
    auto const prompt = find_prompt("stop", 60);
    http_call open(cluster.address("router-1"), cluster.stream(prompt, "agent-stop-key", 60));
    expect(open.read_until("data: {"), "the first part of the stream");
    auto rest = std::async(std::launch::async, [&] { return open.finish(); });
    auto const leaving = cluster.find_upstream("agent-stop-key");
    auto code =
        std::async(std::launch::async, [&] { return cluster.terminate("agent-" + leaving); });
    for (int router : {1, 2})
        wait_until(
            "leaving",
            [&] { return cluster.agent(router, leaving)["state"].asString() != "usable"; });
    auto const before = cluster.stats(leaving)["executions"].size();
    auto chats = begin_chats(cluster, 1, "elsewhere-1", 4);
    auto more = begin_chats(cluster, 2, "elsewhere-2", 4);
    expect(collect(chats).answered + collect(more).answered == 8, "answers from the other engine");
    expect(cluster.stats(leaving)["executions"].size() == before, "no new work");
    expect_whole_answer(rest.get(), prompt, 60);
    expect(code.get() == 0, "exit code 0");
}

// Guards I6: an upstream on a VM that the platform reports as leaving must get no new work.
Test(end_to_end_failures, upstream_leaving_by_vm_list)
{
    fleet cluster;
    Json::Value list;
    list["vms"][0]["address"] = cluster.address("agent-engine-1");
    list["vms"][0]["state"] = "leaving";
    auto const response =
        fetch(cluster.address("vmlist"), {"POST", "/v1/vms", {}, to_compact_json(list)});
    expect(response.status == 200, "the list is accepted");
    for (int router : {1, 2})
        wait_until(
            "leaving",
            [&] { return cluster.agent(router, "engine-1")["state"].asString() == "vm_leaving"; });
    auto chats = begin_chats(cluster, 1, "remaining-1", 3);
    auto more = begin_chats(cluster, 2, "remaining-2", 3);
    expect(collect(chats).answered + collect(more).answered == 6, "answers from the other engine");
    expect(cluster.stats("engine-1")["executions"].empty(), "no new work");
}

// Guards against refusals when a busy upstream could still serve the request within its deadline.
Test(end_to_end_failures, one_engine_shared_by_two_routers)
{
    fleet_options options;
    options.engines = 1;
    options.engine_arguments = {"--token-interval-ms", "5"};
    fleet cluster(options);
    auto chats = begin_chats(cluster, 1, "shared-1", 10);
    auto more = begin_chats(cluster, 2, "shared-2", 10);
    expect(collect(chats).answered + collect(more).answered == 20, "all answered");
}

// Guards I8: a router cut off from the log must take the configuration from its peer and never
// revert to an older version.
Test(end_to_end_failures, configuration_through_peer)
{
    fleet cluster;
    cluster.log_link(1).cut();
    expect(cluster.publish(200'000).exit_code == 0, "published through router 2");
    wait_until("version 2 comes from the peer", [&] { return cluster.version(1) == 2; });
    cluster.kill("router-1");
    cluster.start("router-1");
    wait_until(
        "version 2 after the restart",
        [&]
        {
            auto const version = cluster.version(1);
            expect(version == 0 || version == 2, "no older version");
            return version == 2;
        });
    cluster.log_link(1).heal();
    wait_until("ready", [&] { return cluster.status(1)["ready"].asBool(); });
    expect(cluster.version(1) == 2 && cluster.version(2) == 2, "version 2 stays");
}

// Guards against a request that crashes one upstream after another when its client retries it.
Test(end_to_end_failures, crashing_request)
{
    fleet cluster(crashing_engines());
    crash(cluster);
    for (int n = 0; n < 6; ++n)
    {
        auto const response = cluster.send(
            1 + n % 2, cluster.chat("CRASH please", "retry-key-" + std::to_string(n), 16));
        expect(response.status != 200, "no answer to its retries");
    }
    int crashes = 0;
    for (int n = 1; n <= 4; ++n)
        crashes += cluster.stats("engine-" + std::to_string(n))["crashes"].asInt();
    expect(crashes <= 2, "at most two crashes, got " + std::to_string(crashes));
    auto other = begin_chats(cluster, 2, "other", 4);
    expect(collect(other).answered == 4, "answers to other requests");
}

// Guards I3: requests that ran beside a crashing one must be answered when their clients retry with
// the same keys.
Test(end_to_end_failures, requests_beside_crash)
{
    fleet cluster(crashing_engines());
    auto innocent = begin_chats(cluster, 1, "innocent", 6);
    crash(cluster);
    for (std::size_t n = 0; n < innocent.size(); ++n)
    {
        auto const text = std::to_string(n);
        auto response = innocent[n].get();
        if (response.status != 200)
            response = cluster.send_with_retries(
                2, cluster.chat("innocent prompt " + text, "innocent-key-" + text, 64));
        expect_whole_answer(response, "innocent prompt " + text, 64);
    }
}

// Guards I2, I3 and I5 when a router and agents fail at the same time.
Test(end_to_end_failures, router_and_agents_killed)
{
    fleet_options options;
    options.service_arguments = {"--delay-ms", "2000"};
    fleet cluster(options);
    auto const prompt = find_prompt("both", long_answer);
    auto const stream = cluster.stream(prompt, "both-stream-key", long_answer);
    auto const order = cluster.order("both-order-key");
    auto lost_order = begin_request(cluster, 1, order);
    http_call open(cluster.address("router-1"), stream);
    expect(open.read_until("data: {"), "the first part of the stream");
    wait_until("the order starts", [&] { return cluster.executions("both-order-key") == 1; });
    auto const engine_agent = "agent-" + cluster.find_upstream("both-stream-key");
    for (auto const& name : {std::string("router-1"), engine_agent, std::string("agent-service-1")})
        cluster.kill(name);
    open.finish();
    lost_order.get();
    expect_whole_answer(cluster.send_with_retries(2, stream), prompt, long_answer);
    auto const retried = cluster.send(2, order);
    expect(retried.code() == 1401 && retried.ran() == "unknown", "unknown, got " + retried.body);
    expect(cluster.executions("both-order-key") == 1, "one execution of the order");
    cluster.wait_until_billed(2 + long_answer, {2});
}
