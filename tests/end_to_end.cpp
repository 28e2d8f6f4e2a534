#include <almondcart/core/json.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <future>
#include <string>

#include "support/fleet.hpp"

using namespace almondcart;
using namespace almondcart::test_support;

namespace {

/// Worst cases of these tests fit into this many tokens.
constexpr std::int64_t total_tokens = 100'000;

void expect_refusal(call_response const& response, int status, int code)
{
    expect(
        response.status == status && response.code() == code && response.ran() == "no",
        std::to_string(code) + " not run, got " + std::to_string(response.status) + " " +
            response.body);
}

} // namespace

// Guards against answers that are changed or cut on the way, and usage that is not billed once.
Test(end_to_end, answers_and_bills_each_form_of_request)
{
    fleet it;
    auto const prompt = find_prompt("whole", 12);
    auto const whole = it.send(1, it.chat(prompt, "whole-request-1", 12));
    expect(whole.status == 200, "whole answer, got " + whole.body);
    expect(whole.text() == expected_text(prompt, 12), "the engine's text, got " + whole.body);
    auto const streamed = it.send(2, it.stream(prompt, "streamed-request-1", 12));
    expect(streamed.status == 200 && streamed.is_complete, "streamed answer");
    expect(streamed.text() == expected_text(prompt, 12), "all of the stream, " + streamed.body);
    expect(streamed.body.find("[DONE]") != std::string::npos, "the end mark of the stream");
    for (int router : {1, 2})
    {
        auto const order = it.send(router, it.order("order-request-1"));
        expect(order.status == 200, "order, got " + order.body);
        expect(order.json()["executions"].asInt() == 1, "the first execution's answer");
    }
    expect(it.executions("order-request-1") == 1, "one execution for two calls");
    // 2 prompt words and 12 output tokens each, and 10 tokens for the order.
    it.wait_until_billed(2 * (2 + 12) + 10);
}

// Guards against bad input that runs, is billed, or leaves tokens reserved.
Test(end_to_end, refuses_bad_input_without_spending)
{
    fleet it;
    auto const good = it.order("good-order-key");
    expect(it.send(1, good).status == 200, "the good order");
    it.wait_until_billed(10);
    auto const with = [&](auto const& change)
    {
        auto request = it.chat("hello", "bad-input-key", 8);
        change(request);
        return it.send(1, request);
    };
    expect_refusal(with([](auto& request) { request.body = "{\"model\":"; }), 400, 1101);
    expect_refusal(with([](auto& request) { request.body.append(70'000, ' '); }), 413, 1102);
    expect_refusal(
        with([](auto& request) { request.headers[0].second = "Bearer stranger"; }), 401, 1103);
    expect_refusal(
        with([](auto& request) { request.path = "/v1/services/other/orders"; }), 404, 1104);
    expect_refusal(
        with([](auto& request) { request.headers.emplace_back("almondcart-kind", "cake"); }),
        400,
        1105);
    expect_refusal(with([](auto& request) { request.headers[1].second = "short"; }), 400, 1106);
    expect_refusal(
        with([](auto& request) { request.headers[1].second = std::string(129, 'k'); }), 400, 1106);
    expect_refusal(it.send(1, it.order("good-order-key", "{\"other\":1}")), 422, 1107);
    expect_refusal(
        with([](auto& request) { request.body.replace(request.body.find("m-1"), 3, "m-2"); }),
        404,
        1108);
    expect_refusal(it.send(1, it.order("")), 400, 1109);
    expect_refusal(
        with([](auto& request) { request.headers.emplace_back("almondcart-budget", "gone"); }),
        400,
        1110);
    auto const budget = it.budget(1);
    expect(budget["billed"].asInt() == 10, "nothing billed");
    expect(budget["reserved_here"].asInt() == 0, "nothing reserved");
    expect(it.executions("bad-input-key") == 0, "nothing executed");
}

// Guards against a second run under an idempotent key whose body was changed.
Test(end_to_end, refuses_a_changed_body_under_an_idempotent_key)
{
    fleet it;
    expect(it.send(1, it.chat("hello", "reused-chat-key", 8)).status == 200, "the first request");
    it.wait_until_billed(1 + 8);
    expect_refusal(it.send(1, it.chat("goodbye", "reused-chat-key", 8)), 422, 1107);
    expect(it.executions("reused-chat-key") == 1, "one execution");
}

// Guards as above at a router that did not serve the first request, for each upstream that the
// other body may be placed on.
Test(end_to_end, refuses_a_changed_body_at_the_other_router)
{
    fleet it;
    expect(it.send(1, it.chat("hello", "reused-chat-key", 8)).status == 200, "the first request");
    it.wait_until_billed(1 + 8);
    for (int n = 0; n < 6; ++n)
        expect_refusal(
            it.send(2, it.chat(std::to_string(n) + " goodbye", "reused-chat-key", 8)), 422, 1107);
    expect(it.executions("reused-chat-key") == 1, "one execution");
}

// Guards against processes that start with settings they do not understand.
Test(end_to_end, exits_with_one_clear_line_on_wrong_settings)
{
    fleet it;
    for (std::string const program : {"almondcart-router", "almondcart-agent"})
    {
        auto const file = it.write_file("wrong.json", R"({"name":"x","colour":"green"})");
        auto const result = it.run({program, "--settings", file});
        expect(result.exit_code == 2, program + " exits with 2");
        expect(
            std::ranges::count(result.output, '\n') == 1 &&
                result.output.find("wrong.json") != std::string::npos,
            "one line naming the file, got " + result.output);
        auto const missing = it.run({program, "--settings", file + ".missing"});
        expect(missing.exit_code == 2, program + " exits with 2 without a file");
        expect(std::ranges::count(missing.output, '\n') == 1, "one line, got " + missing.output);
    }
}

// Guards against scripts that take a failed command for a success.
Test(end_to_end, reports_results_of_commands_by_exit_code)
{
    fleet it;
    auto const router = it.peer_address(1);
    auto const good = it.write_file("good.json", to_compact_json(it.document(total_tokens)));
    auto const bad = it.write_file("bad.json", R"({"service":"shop"})");
    auto const nobody = find_free_address();
    expect(it.run({"almondcart", "check", good}).exit_code == 0, "check of a valid document");
    expect(it.run({"almondcart", "check", bad}).exit_code == 1, "check of an invalid document");
    expect(it.run({"almondcart", "check"}).exit_code == 2, "check without a file");
    auto const published = it.run({"almondcart", "publish", good, "--router", router, "--wait"});
    expect(published.exit_code == 0, "publish, got " + published.output);
    expect(it.version(1) == 2 && it.version(2) == 2, "version 2 at both routers");
    expect(
        it.run({"almondcart", "publish", bad, "--router", router}).exit_code == 1,
        "publish of an invalid document");
    for (std::string const command : {"status", "timeline"})
    {
        expect(it.run({"almondcart", command, "--router", router}).exit_code == 0, command);
        expect(it.run({"almondcart", command}).exit_code == 2, command + " without a router");
        expect(
            it.run({"almondcart", command, "--router", nobody}).exit_code == 3,
            command + " without an answer");
    }
    expect(
        it.run({"almondcart", "publish", good, "--router", nobody}).exit_code == 3,
        "publish without an answer");
}

// Guards I8: of two operators who start from one version, one must not overwrite the other.
Test(end_to_end, accepts_one_of_two_publications_with_one_base_version)
{
    fleet it;
    auto const publish = [&](int router)
    {
        Json::Value call;
        call["jsonrpc"] = "2.0";
        call["id"] = router;
        call["method"] = "publish";
        call["params"]["document"] = it.document(total_tokens + router);
        call["params"]["author"] = "operator";
        call["params"]["base_version"] = 1;
        return fetch(it.peer_address(router), {"POST", "/rpc", {}, to_compact_json(call)}).json();
    };
    auto first = std::async(std::launch::async, publish, 1);
    auto second = std::async(std::launch::async, publish, 2);
    auto const one = first.get();
    auto const two = second.get();
    expect(
        one.isMember("result") != two.isMember("result"),
        "one accepted, got " + to_compact_json(one) + to_compact_json(two));
    auto const& refused = one.isMember("result") ? two : one;
    expect(
        refused["error"]["data"]["code"].asInt() == 1501,
        "a conflict, got " + to_compact_json(refused));
    auto const total = total_tokens + (one.isMember("result") ? 1 : 2);
    for (int router : {1, 2})
        wait_until(
            "the accepted total",
            [&]
            { return it.version(router) == 2 && it.budget(router)["total"].asInt64() == total; });
    expect(it.publish(total_tokens, {"--base-version", "1"}).exit_code == 1, "exit code 1");
}
