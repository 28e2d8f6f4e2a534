#include <almondcart/core/json.hpp>

#include <criterion/criterion.h>

#include <algorithm>
#include <future>
#include <string>

#include "support/fleet.hpp"

using namespace almondcart;
using namespace almondcart::test_support;

namespace {

/// Enough tokens for the worst-case reservations of these tests.
constexpr std::int64_t total_tokens = 100'000;

void expect_refusal(call_response const& response, int status, int code)
{
    expect(
        response.status == status && response.code() == code && response.ran() == "no",
        std::to_string(code) + " not run, got " + std::to_string(response.status) + " " +
            response.body);
}

} // namespace

// Guards against answers that are altered or truncated on the way, and usage that is not billed
// exactly once.
Test(end_to_end, answers_and_bills_each_form_of_request)
{
    fleet cluster;
    auto const prompt = find_prompt("whole", 12);
    auto const whole = cluster.send(1, cluster.chat(prompt, "whole-request-1", 12));
    expect(whole.status == 200, "whole answer, got " + whole.body);
    expect(whole.text() == expected_text(prompt, 12), "the engine's text, got " + whole.body);
    auto const streamed = cluster.send(2, cluster.stream(prompt, "streamed-request-1", 12));
    expect(streamed.status == 200 && streamed.is_complete, "streamed answer");
    expect(streamed.text() == expected_text(prompt, 12), "all of the stream, " + streamed.body);
    expect(streamed.body.find("[DONE]") != std::string::npos, "the end mark of the stream");
    for (int router : {1, 2})
    {
        auto const order = cluster.send(router, cluster.order("order-request-1"));
        expect(order.status == 200, "order, got " + order.body);
        expect(order.json()["executions"].asInt() == 1, "the first execution's answer");
    }
    expect(cluster.executions("order-request-1") == 1, "one execution for two calls");
    // 2 prompt words and 12 output tokens each, and 10 tokens for the order.
    cluster.wait_until_billed(2 * (2 + 12) + 10);
}

// Guards against invalid requests that run, are billed or leave tokens reserved.
Test(end_to_end, refuses_bad_input_without_spending)
{
    fleet cluster;
    auto const valid_order = cluster.order("good-order-key");
    expect(cluster.send(1, valid_order).status == 200, "the valid order");
    cluster.wait_until_billed(10);
    auto const send_with_change = [&](auto const& change)
    {
        auto request = cluster.chat("hello", "bad-input-key", 8);
        change(request);
        return cluster.send(1, request);
    };
    expect_refusal(
        send_with_change([](auto& request) { request.body = "{\"model\":"; }), 400, 1101);
    expect_refusal(
        send_with_change([](auto& request) { request.body.append(70'000, ' '); }), 413, 1102);
    expect_refusal(
        send_with_change([](auto& request) { request.headers[0].second = "Bearer stranger"; }),
        401,
        1103);
    expect_refusal(
        send_with_change([](auto& request) { request.path = "/v1/services/other/orders"; }),
        404,
        1104);
    expect_refusal(
        send_with_change([](auto& request)
                         { request.headers.emplace_back("almondcart-kind", "cake"); }),
        400,
        1105);
    expect_refusal(
        send_with_change([](auto& request) { request.headers[1].second = "short"; }), 400, 1106);
    expect_refusal(
        send_with_change([](auto& request) { request.headers[1].second = std::string(129, 'k'); }),
        400,
        1106);
    expect_refusal(cluster.send(1, cluster.order("good-order-key", "{\"other\":1}")), 422, 1107);
    expect_refusal(
        send_with_change([](auto& request)
                         { request.body.replace(request.body.find("m-1"), 3, "m-2"); }),
        404,
        1108);
    expect_refusal(cluster.send(1, cluster.order("")), 400, 1109);
    expect_refusal(
        send_with_change([](auto& request)
                         { request.headers.emplace_back("almondcart-budget", "gone"); }),
        400,
        1110);
    auto const budget = cluster.budget(1);
    expect(budget["billed"].asInt() == 10, "nothing billed");
    expect(budget["reserved_here"].asInt() == 0, "nothing reserved");
    expect(cluster.executions("bad-input-key") == 0, "nothing executed");
}

// Guards against a second run when an idempotency key is reused with a different body.
Test(end_to_end, refuses_a_changed_body_under_an_idempotent_key)
{
    fleet cluster;
    expect(
        cluster.send(1, cluster.chat("hello", "reused-chat-key", 8)).status == 200,
        "the first request");
    cluster.wait_until_billed(1 + 8);
    expect_refusal(cluster.send(1, cluster.chat("goodbye", "reused-chat-key", 8)), 422, 1107);
    expect(cluster.executions("reused-chat-key") == 1, "one execution");
}

// Guards against a second run when a router that did not serve the first request receives its key
// with a different body. Several bodies are sent, because each may be placed on another upstream.
Test(end_to_end, refuses_a_changed_body_at_the_other_router)
{
    fleet cluster;
    expect(
        cluster.send(1, cluster.chat("hello", "reused-chat-key", 8)).status == 200,
        "the first request");
    cluster.wait_until_billed(1 + 8);
    for (int n = 0; n < 6; ++n)
        expect_refusal(
            cluster.send(2, cluster.chat(std::to_string(n) + " goodbye", "reused-chat-key", 8)),
            422,
            1107);
    expect(cluster.executions("reused-chat-key") == 1, "one execution");
}

// Guards against processes that start with unknown or missing settings, or fail without naming the
// file.
Test(end_to_end, exits_with_one_clear_line_on_wrong_settings)
{
    fleet cluster;
    for (std::string const program : {"almondcart-router", "almondcart-agent"})
    {
        auto const file = cluster.write_file("wrong.json", R"({"name":"x","colour":"green"})");
        auto const result = cluster.run({program, "--settings", file});
        expect(result.exit_code == 2, program + " exits with 2");
        expect(
            std::ranges::count(result.output, '\n') == 1 &&
                result.output.find("wrong.json") != std::string::npos,
            "one line naming the file, got " + result.output);
        auto const missing = cluster.run({program, "--settings", file + ".missing"});
        expect(missing.exit_code == 2, program + " exits with 2 without a file");
        expect(std::ranges::count(missing.output, '\n') == 1, "one line, got " + missing.output);
    }
}

// Guards against wrong exit codes, by which scripts would take a failed command for a success.
Test(end_to_end, reports_results_of_commands_by_exit_code)
{
    fleet cluster;
    auto const router = cluster.peer_address(1);
    auto const good =
        cluster.write_file("good.json", to_compact_json(cluster.document(total_tokens)));
    auto const bad = cluster.write_file("bad.json", R"({"service":"shop"})");
    auto const unused_address = find_free_address();
    expect(cluster.run({"almondcart", "check", good}).exit_code == 0, "check of a valid document");
    expect(
        cluster.run({"almondcart", "check", bad}).exit_code == 1, "check of an invalid document");
    expect(cluster.run({"almondcart", "check"}).exit_code == 2, "check without a file");
    auto const published =
        cluster.run({"almondcart", "publish", good, "--router", router, "--wait"});
    expect(published.exit_code == 0, "publish, got " + published.output);
    expect(cluster.version(1) == 2 && cluster.version(2) == 2, "version 2 at both routers");
    expect(
        cluster.run({"almondcart", "publish", bad, "--router", router}).exit_code == 1,
        "publish of an invalid document");
    for (std::string const command : {"status", "timeline"})
    {
        expect(cluster.run({"almondcart", command, "--router", router}).exit_code == 0, command);
        expect(cluster.run({"almondcart", command}).exit_code == 2, command + " without a router");
        expect(
            cluster.run({"almondcart", command, "--router", unused_address}).exit_code == 3,
            command + " without an answer");
    }
    expect(
        cluster.run({"almondcart", "publish", good, "--router", unused_address}).exit_code == 3,
        "publish without an answer");
}

// Guards I8 (see docs/design.md): two operators who publish from the same base version must not
// overwrite each other.
Test(end_to_end, accepts_one_of_two_publications_with_one_base_version)
{
    fleet cluster;
    auto const publish = [&](int router)
    {
        Json::Value call;
        call["jsonrpc"] = "2.0";
        call["id"] = router;
        call["method"] = "publish";
        call["params"]["document"] = cluster.document(total_tokens + router);
        call["params"]["author"] = "operator";
        call["params"]["base_version"] = 1;
        return fetch(cluster.peer_address(router), {"POST", "/rpc", {}, to_compact_json(call)})
            .json();
    };
    auto first = std::async(std::launch::async, publish, 1);
    auto second = std::async(std::launch::async, publish, 2);
    auto const first_reply = first.get();
    auto const second_reply = second.get();
    expect(
        first_reply.isMember("result") != second_reply.isMember("result"),
        "one accepted, got " + to_compact_json(first_reply) + to_compact_json(second_reply));
    auto const& refused = first_reply.isMember("result") ? second_reply : first_reply;
    expect(
        refused["error"]["data"]["code"].asInt() == 1501,
        "a conflict, got " + to_compact_json(refused));
    auto const total = total_tokens + (first_reply.isMember("result") ? 1 : 2);
    for (int router : {1, 2})
        wait_until(
            "the accepted total",
            [&] {
                return cluster.version(router) == 2 &&
                       cluster.budget(router)["total"].asInt64() == total;
            });
    expect(cluster.publish(total_tokens, {"--base-version", "1"}).exit_code == 1, "exit code 1");
}
