#include <almondcart/core/json.hpp>

#include <criterion/criterion.h>

#include <csignal>
#include <future>
#include <string>

#include "support/fleet.hpp"

using namespace almondcart;
using namespace almondcart::test_support;

namespace {

using pending_response = std::future<call_response>;

pending_response begin(fleet const& it, int router, call_request const& request)
{
    return std::async(
        std::launch::async, [&it, router, request] { return it.send(router, request); });
}

/// Sends `count` chat requests at once, with keys that start with `key`.
std::vector<pending_response>
begin_chats(fleet const& it, int router, std::string const& key, int count)
{
    std::vector<pending_response> pending;
    for (int n = 0; n < count; ++n)
        pending.push_back(begin(
            it,
            router,
            it.chat(key + " prompt " + std::to_string(n), key + "-key-" + std::to_string(n), 64)));
    return pending;
}

struct outcome_totals
{
    int answered = 0;
    int refused = 0;
    std::int64_t tokens = 0;
};

/// Waits for responses, each of which must be an answer or a refusal for lack of tokens.
outcome_totals collect(std::vector<pending_response>& pending)
{
    outcome_totals totals;
    for (auto& it : pending)
    {
        auto const response = it.get();
        bool const is_answer = response.status == 200;
        bool const is_refusal = response.code() == 1201 || response.code() == 1202;
        expect(is_answer || is_refusal, "an answer or no tokens, got " + response.body);
        expect(is_answer || response.ran() == "no", "not run, got " + response.body);
        ++(is_answer ? totals.answered : totals.refused);
        if (is_answer)
            totals.tokens += response.json()["usage"]["total_tokens"].asInt64();
    }
    return totals;
}

void expect_whole_answer(call_response const& response, std::string const& prompt, int tokens)
{
    expect(response.status == 200 && response.is_complete, "an answer, got " + response.body);
    expect(response.text() == expected_text(prompt, tokens), "all of it, got " + response.body);
}

/// Tokens that routers other than this one hold, as this one sees it.
std::int64_t held_elsewhere(fleet const& it, int router)
{
    auto const budget = it.budget(router);
    return budget["charged"].asInt64() - budget["billed"].asInt64() -
           budget["free_here"].asInt64() - budget["reserved_here"].asInt64() -
           budget["pending_here"].asInt64();
}

/// Sends a request, upon which the router draws tokens ahead of demand. Returns what it cost.
std::int64_t warm_up(fleet const& it, int router)
{
    auto const response =
        it.send(router, it.chat("warm up", "warm-up-" + std::to_string(router), 8));
    expect(response.status == 200, "a first answer, got " + response.body);
    wait_until("a grant", [&] { return it.budget(router)["free_here"].asInt64() > 0; });
    return response.json()["usage"]["total_tokens"].asInt64();
}

/// Sends rounds of requests until the rest covers no worst case. Returns what they cost.
std::int64_t spend_all(fleet const& it, int router)
{
    std::int64_t tokens = 0;
    for (int round = 0;; ++round)
    {
        auto chats = begin_chats(it, router, "round-" + std::to_string(round), 8);
        auto const totals = collect(chats);
        tokens += totals.tokens;
        if (totals.answered == 0)
            return tokens;
    }
}

/// Budget that two dozen requests exhaust, and engines fast enough to do so in a test.
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

/// Sends a crashing request through both routers, with several keys at once.
void crash(fleet const& it)
{
    std::vector<pending_response> pending;
    for (int n = 0; n < 6; ++n)
        pending.push_back(
            begin(it, 1 + n % 2, it.chat("CRASH please", "crash-key-" + std::to_string(n), 16)));
    for (auto& response : pending)
        expect(response.get().status != 200, "no answer to the crashing request");
}

constexpr int long_answer = 40;

} // namespace

// Guards I2 and I3: a caller whose router died must get all of its answer, and pay once.
Test(end_to_end_failures, router_killed_in_stream)
{
    fleet it;
    auto const prompt = find_prompt("stream", long_answer);
    auto const request = it.stream(prompt, "router-killed-key", long_answer);
    http_call open(it.address("router-1"), request);
    expect(open.read_until("data: {"), "the first part of the stream");
    it.kill("router-1");
    expect(!open.finish().is_complete, "a stream cut by the death of its router");
    expect_whole_answer(it.send_with_retries(2, request), prompt, long_answer);
    expect(it.executions("router-killed-key") == 1, "one execution");
    it.wait_until_billed(2 + long_answer, {2});
}

// Guards I5: the intent of a dead router must not lead to a second execution.
Test(end_to_end_failures, router_killed_after_intent)
{
    fleet_options options;
    options.service_arguments = {"--delay-ms", "1500"};
    fleet it(options);
    auto const request = it.order("intent-key-1");
    auto lost = begin(it, 1, request);
    wait_until("the execution starts", [&] { return it.executions("intent-key-1") == 1; });
    it.kill("router-1");
    expect(lost.get().status != 200, "a call cut by the death of its router");
    auto const retried = it.send_with_retries(2, request);
    expect(retried.status == 200, "the first execution's answer, got " + retried.body);
    expect(it.executions("intent-key-1") == 1, "one execution");
    it.wait_until_billed(10, {2});
}

// Guards I5: as above, with a router that dies between its intent and its dispatch.
Test(end_to_end_failures, router_killed_before_dispatch)
{
    fleet it;
    auto const appends = [&]
    {
        std::int64_t count = 0;
        auto const streams = it.stats("log")["streams"];
        for (auto const& end : streams)
            count += end.asInt64();
        return count;
    };
    // The router does not see its intent, which the log has.
    it.set_log_fault("lose_answers");
    auto const before = appends();
    auto const request = it.order("intent-key-2");
    auto lost = begin(it, 1, request);
    wait_until("the intent is on the log", [&] { return appends() > before; });
    it.kill("router-1");
    it.set_log_fault("up");
    lost.get();
    auto const retried = it.send_with_retries(2, request);
    expect(retried.status == 200, "an answer, got " + retried.body);
    expect(it.executions("intent-key-2") == 1, "one execution");
}

// Guards I4 and I5: a call that was running in a dead agent must never run again.
Test(end_to_end_failures, agent_killed_in_non_idempotent_call)
{
    fleet_options options;
    options.services = 2;
    options.service_arguments = {"--delay-ms", "2000"};
    fleet it(options);
    auto const request = it.order("agent-killed-key");
    auto const expect_unknown = [&](call_response const& response)
    {
        expect(
            response.code() == 1401 && response.ran() == "unknown",
            "outcome unknown, got " + response.body);
        expect(it.executions("agent-killed-key") == 1, "one execution");
    };
    auto lost = begin(it, 1, request);
    wait_until("the execution starts", [&] { return it.executions("agent-killed-key") == 1; });
    auto const agent = "agent-" + it.find_upstream("agent-killed-key");
    it.kill(agent);
    expect_unknown(lost.get());
    for (int router : {1, 2})
        expect_unknown(it.send(router, request));
    it.start(agent);
    it.wait_until_ready();
    for (int router : {1, 2})
        expect_unknown(it.send(router, request));
}

// Guards I2, I5 and I8: appends that took effect without an answer must not be applied twice.
Test(end_to_end_failures, log_answers_lost)
{
    fleet it;
    it.set_log_fault("lose_answers");
    auto chats = begin_chats(it, 1, "lost-answers-1", 4);
    for (auto& pending : begin_chats(it, 2, "lost-answers-2", 4))
        chats.push_back(std::move(pending));
    auto order = begin(it, 1, it.order("lost-answers-order"));
    auto const published = it.publish(200'000);
    expect(published.exit_code == 0, "accepted, got " + published.output);
    auto const totals = collect(chats);
    expect(totals.answered == 8, "all answered");
    auto const response = order.get();
    expect(response.status == 200, "the order, got " + response.body);
    expect(it.stats("log")["lost_answers"].asInt() > 0, "answers were lost");
    it.set_log_fault("up");
    it.wait_until_billed(totals.tokens + 10);
    expect(it.executions("lost-answers-order") == 1, "one execution of the order");
    for (int router : {1, 2})
    {
        expect(it.version(router) == 2, "one new version");
        expect(it.budget(router)["total"].asInt64() == 200'000, "the new total");
    }
}

// Guards I4 and the use of granted tokens while the log is down.
Test(end_to_end_failures, log_down)
{
    fleet it;
    auto tokens = warm_up(it, 1) + warm_up(it, 2);
    it.set_log_fault("down");
    auto const prompt = find_prompt("down", 12);
    for (int router : {1, 2})
    {
        auto const key = "log-down-key-" + std::to_string(router);
        expect_whole_answer(it.send(router, it.stream(prompt, key, 12)), prompt, 12);
        expect_whole_answer(it.send(router, it.chat(prompt, key + "-whole", 12)), prompt, 12);
        tokens += 2 * (2 + 12);
    }
    auto const order = it.order("log-down-order");
    auto const refused = it.send(1, order);
    expect(
        refused.status == 503 && refused.code() == 1203 && refused.ran() == "no",
        "intent not durable, got " + refused.body);
    expect(it.executions("log-down-order") == 0, "no execution");
    it.set_log_fault("up");
    wait_until("the log is seen", [&] { return it.status(1)["log_available"].asBool(); });
    expect(it.executions("log-down-order") == 0, "no late execution");
    expect(it.send_with_retries(2, order).status == 200, "the order");
    expect(it.executions("log-down-order") == 1, "one execution");
    it.wait_until_billed(tokens + 10);
}

// Guards I1 and I4: a router that wakes up after its grants were given to others must not spend.
Test(end_to_end_failures, router_frozen_past_recovery)
{
    fleet it(small_budget());
    auto const before = warm_up(it, 1);
    it.send_signal("router-1", SIGSTOP);
    // These wait in the frozen router's connections, and are dispatched when it wakes up.
    auto late = begin_chats(it, 1, "late", 8);
    wait_until(
        "the frozen router's grants are recovered", [&] { return held_elsewhere(it, 2) == 0; });
    auto const spent = spend_all(it, 2);
    it.send_signal("router-1", SIGCONT);
    auto const woken = collect(late);
    expect(woken.answered == 0, "late requests are refused");
    expect(it.executions("late-key-") == 0, "no refused request ran");
    auto const tokens = before + spent;
    it.wait_until_billed(tokens);
    expect(tokens <= 1'500, "no overspend");
}

// Guards I1: two routers drawing on the rest of a budget must not overspend it, nor lose a top-up.
Test(end_to_end_failures, budget_nearly_empty)
{
    fleet it(small_budget());
    auto first = begin_chats(it, 1, "first", 25);
    auto second = begin_chats(it, 2, "second", 25);
    auto const one = collect(first);
    auto const two = collect(second);
    expect(one.refused + two.refused > 0, "refusals");
    it.wait_until_billed(one.tokens + two.tokens);
    expect(one.tokens + two.tokens <= 1'500, "no overspend");
    expect(
        it.executions("first-key-") + it.executions("second-key-") == one.answered + two.answered,
        "no refused request ran");
    expect(it.publish(100'000, {"--wait"}).exit_code == 0, "the top-up");
    for (int router : {1, 2})
    {
        auto const request = it.chat("after", "after-key-" + std::to_string(router), 16);
        expect(it.send_with_retries(router, request).status == 200, "an answer after the top-up");
    }
}

// Guards I1 and I8: during a partition a router must not spend what it cannot know to be granted.
Test(end_to_end_failures, partition_during_top_up)
{
    fleet it(small_budget());
    auto const before = warm_up(it, 1);
    auto const set_cut = [&](bool is_cut)
    {
        for (auto* link : {&it.log_link(1), &it.peer_link(1), &it.peer_link(2)})
            is_cut ? link->cut() : link->heal();
    };
    set_cut(true);
    auto cut_off = begin_chats(it, 1, "cut-off", 60);
    auto connected = begin_chats(it, 2, "connected", 25);
    expect(it.publish(2'500).exit_code == 0, "the top-up");
    auto const one = collect(cut_off);
    auto const two = collect(connected);
    expect(one.refused > 0, "the side that does not see the log runs out of tokens");
    set_cut(false);
    wait_until("the top-up is seen", [&] { return it.budget(1)["total"].asInt64() == 2'500; });
    auto late = begin_chats(it, 1, "healed", 40);
    auto const three = collect(late);
    auto const tokens = before + one.tokens + two.tokens + three.tokens;
    it.wait_until_billed(tokens);
    expect(tokens <= 2'500, "no overspend");
    expect(it.executions("cut-off-key-") == one.answered, "no refused request ran");
}

// Guards I7: a planned stop of a router must cut no stream, and must give back its grants.
Test(end_to_end_failures, planned_stop_of_router)
{
    fleet it;
    auto const prompt = find_prompt("stop", long_answer);
    http_call open(it.address("router-1"), it.stream(prompt, "router-stop-key", long_answer));
    expect(open.read_until("data: {"), "the first part of the stream");
    auto rest = std::async(std::launch::async, [&] { return open.finish(); });
    expect(it.terminate("router-1") == 0, "exit code 0");
    expect_whole_answer(rest.get(), prompt, long_answer);
    it.wait_until_billed(2 + long_answer, {2});
    wait_until("the grants are returned", [&] { return held_elsewhere(it, 2) == 0; });
}

// Guards I6 and I7: an agent that stops must finish its stream and get no new work.
Test(end_to_end_failures, planned_stop_of_agent)
{
    fleet it;
    auto const prompt = find_prompt("stop", 60);
    http_call open(it.address("router-1"), it.stream(prompt, "agent-stop-key", 60));
    expect(open.read_until("data: {"), "the first part of the stream");
    auto rest = std::async(std::launch::async, [&] { return open.finish(); });
    auto const leaving = it.find_upstream("agent-stop-key");
    auto code = std::async(std::launch::async, [&] { return it.terminate("agent-" + leaving); });
    for (int router : {1, 2})
        wait_until(
            "leaving", [&] { return it.agent(router, leaving)["state"].asString() != "usable"; });
    auto const before = it.stats(leaving)["executions"].size();
    auto chats = begin_chats(it, 1, "elsewhere-1", 4);
    auto more = begin_chats(it, 2, "elsewhere-2", 4);
    expect(collect(chats).answered + collect(more).answered == 8, "answers from the other engine");
    expect(it.stats(leaving)["executions"].size() == before, "no new work");
    expect_whole_answer(rest.get(), prompt, 60);
    expect(code.get() == 0, "exit code 0");
}

// Guards I6: an upstream on a VM that the platform takes away must get no new work.
Test(end_to_end_failures, upstream_leaving_by_vm_list)
{
    fleet it;
    Json::Value list;
    list["vms"][0]["address"] = it.address("agent-engine-1");
    list["vms"][0]["state"] = "leaving";
    auto const response =
        fetch(it.address("vmlist"), {"POST", "/v1/vms", {}, to_compact_json(list)});
    expect(response.status == 200, "the list is taken");
    for (int router : {1, 2})
        wait_until(
            "leaving",
            [&] { return it.agent(router, "engine-1")["state"].asString() == "vm_leaving"; });
    auto chats = begin_chats(it, 1, "remaining-1", 3);
    auto more = begin_chats(it, 2, "remaining-2", 3);
    expect(collect(chats).answered + collect(more).answered == 6, "answers from the other engine");
    expect(it.stats("engine-1")["executions"].empty(), "no new work");
}

// Guards against refusals while a busy upstream could still serve within the deadline.
Test(end_to_end_failures, one_engine_shared_by_two_routers)
{
    fleet_options options;
    options.engines = 1;
    options.engine_arguments = {"--token-interval-ms", "5"};
    fleet it(options);
    auto chats = begin_chats(it, 1, "shared-1", 10);
    auto more = begin_chats(it, 2, "shared-2", 10);
    expect(collect(chats).answered + collect(more).answered == 20, "all answered");
}

// Guards I8: a router that does not see the log must follow its peer, and never go back.
Test(end_to_end_failures, configuration_through_peer)
{
    fleet it;
    it.log_link(1).cut();
    expect(it.publish(200'000).exit_code == 0, "published through router 2");
    wait_until("version 2 comes from the peer", [&] { return it.version(1) == 2; });
    it.kill("router-1");
    it.start("router-1");
    wait_until(
        "version 2 after the restart",
        [&]
        {
            auto const version = it.version(1);
            expect(version == 0 || version == 2, "no older version");
            return version == 2;
        });
    it.log_link(1).heal();
    wait_until("ready", [&] { return it.status(1)["ready"].asBool(); });
    expect(it.version(1) == 2 && it.version(2) == 2, "version 2 stays");
}

// Guards against one request that brings down upstream after upstream as its caller retries.
Test(end_to_end_failures, crashing_request)
{
    fleet it(crashing_engines());
    crash(it);
    for (int n = 0; n < 6; ++n)
    {
        auto const response =
            it.send(1 + n % 2, it.chat("CRASH please", "retry-key-" + std::to_string(n), 16));
        expect(response.status != 200, "no answer to its retries");
    }
    int crashes = 0;
    for (int n = 1; n <= 4; ++n)
        crashes += it.stats("engine-" + std::to_string(n))["crashes"].asInt();
    expect(crashes <= 2, "at most two crashes, got " + std::to_string(crashes));
    auto other = begin_chats(it, 2, "other", 4);
    expect(collect(other).answered == 4, "answers to other requests");
}

// Guards I3 against requests that are refused because they ran beside a crashing one. Their callers
// retry with their keys.
Test(end_to_end_failures, requests_beside_crash)
{
    fleet it(crashing_engines());
    auto innocent = begin_chats(it, 1, "innocent", 6);
    crash(it);
    for (std::size_t n = 0; n < innocent.size(); ++n)
    {
        auto const text = std::to_string(n);
        auto response = innocent[n].get();
        if (response.status != 200)
            response = it.send_with_retries(
                2, it.chat("innocent prompt " + text, "innocent-key-" + text, 64));
        expect_whole_answer(response, "innocent prompt " + text, 64);
    }
}

// Guards I2, I3 and I5 when a router and agents fail at once.
Test(end_to_end_failures, router_and_agents_killed)
{
    fleet_options options;
    options.service_arguments = {"--delay-ms", "2000"};
    fleet it(options);
    auto const prompt = find_prompt("both", long_answer);
    auto const stream = it.stream(prompt, "both-stream-key", long_answer);
    auto const order = it.order("both-order-key");
    auto lost_order = begin(it, 1, order);
    http_call open(it.address("router-1"), stream);
    expect(open.read_until("data: {"), "the first part of the stream");
    wait_until("the order starts", [&] { return it.executions("both-order-key") == 1; });
    auto const engine_agent = "agent-" + it.find_upstream("both-stream-key");
    for (auto const& name : {std::string("router-1"), engine_agent, std::string("agent-service-1")})
        it.kill(name);
    open.finish();
    lost_order.get();
    expect_whole_answer(it.send_with_retries(2, stream), prompt, long_answer);
    auto const retried = it.send(2, order);
    expect(retried.code() == 1401 && retried.ran() == "unknown", "unknown, got " + retried.body);
    expect(it.executions("both-order-key") == 1, "one execution of the order");
    it.wait_until_billed(2 + long_answer, {2});
}
