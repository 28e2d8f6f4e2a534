#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/http/http_server.hpp>

#include <criterion/criterion.h>

#include <cstdio>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "agent_settings.hpp"
#include "engine_client.hpp"
#include "server_sent_event_parser.hpp"
#include "service_client.hpp"

using namespace almondcart;

namespace {

using exchange_pointer = std::shared_ptr<http_exchange>;

/// Upstream played by a test, and what its client reports.
struct upstream_bench
{
    upstream_bench()
        : server(http_server::create(loop, {.address = "127.0.0.1:0"}).value())
    {
        settings.upstream_address = server->address();
    }

    void handle(std::function<void(exchange_pointer const&)> handler)
    {
        server->route("*", "/", std::move(handler));
    }

    void run(upstream_client& upstream, dispatch const& work)
    {
        upstream_events events;
        events.output = [this](std::string data, token_count tokens)
        {
            outputs.push_back(std::move(data));
            output_tokens += tokens;
        };
        events.finished = [this](upstream_response it) { answer = std::move(it); };
        events.failed = [this](std::string_view, call_failure it) { failure = it; };
        events.not_started = [this](std::string_view) { is_not_started = true; };
        upstream.start(1, work, std::move(events));
        loop.run_until([this] { return answer || failure || is_not_started; });
    }

    event_loop loop;
    std::unique_ptr<http_server> server;
    http_client client{loop};
    agent_settings settings;
    std::vector<std::string> outputs;
    token_count output_tokens = 0;
    std::optional<upstream_response> answer;
    std::optional<call_failure> failure;
    bool is_not_started = false;
};

dispatch create_work()
{
    dispatch work;
    work.request = {{"sandshare", "dune-masters"}, "key-0001"};
    work.output_cap = 7;
    work.method = "POST";
    work.path = "/v1/chat/completions";
    work.content_type = "application/json";
    work.body = R"({"model":"carver-8b","stream":false,"max_tokens":900})";
    return work;
}

constexpr std::string_view chunks =
    "data: {\"choices\":[{\"delta\":{\"role\":\"assistant\"}}]}\r\n\r\n"
    "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n"
    "data: {\"choices\":[{\"delta\":{\"content\":\"b\"}}],"
    "\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":2}}\n\n";

std::string write_settings(std::string const& text)
{
    std::string const file = "agent-settings-test.json";
    std::ofstream(file) << text;
    return file;
}

} // namespace

// Guards against events that arrive in several reads being lost or joined.
Test(server_sent_event_parser, any_split_gives_the_same_events)
{
    for (std::size_t n = 0; n <= chunks.size(); ++n)
    {
        std::vector<std::string> events;
        server_sent_event_parser stream([&](std::string it) { events.push_back(std::move(it)); });
        stream.add(chunks.substr(0, n));
        stream.add(chunks.substr(n));
        cr_assert_eq(events.size(), 3);
        cr_assert_eq(events[1], R"({"choices":[{"delta":{"content":"a"}}]})");
        cr_assert_eq(stream.pending_bytes(), 0);
    }
}

// Guards against an engine producing beyond the cap, and against its own usage reaching the caller
// beside the usage that is billed.
Test(engine_client, sets_the_cap_and_reads_usage)
{
    upstream_bench bench;
    std::string sent;
    bench.handle(
        [&](exchange_pointer const& it)
        {
            sent = it->body();
            it->respond_text(200, "text/event-stream", std::string(chunks) + "data: [DONE]\n\n");
        });
    engine_client engine(bench.settings, bench.client);
    bench.run(engine, create_work());
    auto const body = parse_json(sent).value();
    cr_assert_eq(body["max_tokens"].asInt(), 7);
    cr_assert(body["stream"].asBool());
    cr_assert(bench.answer.has_value());
    cr_assert_eq(bench.answer->prompt_tokens.value(), 3);
    cr_assert_eq(bench.answer->output_tokens.value(), 2);
    cr_assert_eq(bench.output_tokens, 2);
    cr_assert_eq(bench.outputs.size(), 3);
    cr_assert_eq(bench.outputs[2].find("usage"), std::string::npos);
}

// Guards against half an answer being delivered as a complete one (I3).
Test(engine_client, early_end_is_a_failure)
{
    upstream_bench bench;
    bench.handle(
        [](exchange_pointer const& it)
        {
            it->respond_text(
                200,
                "text/event-stream",
                "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n");
        });
    engine_client engine(bench.settings, bench.client);
    bench.run(engine, create_work());
    cr_assert(bench.failure == call_failure::incomplete);
    cr_assert_eq(bench.output_tokens, 1);
}

// Guards against an engine's refusal being billed as output.
Test(engine_client, error_response_produces_no_tokens)
{
    upstream_bench bench;
    bench.handle([](exchange_pointer const& it)
                 { it->respond_text(400, "application/json", R"({"error":"bad"})"); });
    engine_client engine(bench.settings, bench.client);
    bench.run(engine, create_work());
    cr_assert_eq(bench.answer->status, 400);
    cr_assert_eq(bench.answer->data, R"({"error":"bad"})");
    cr_assert_eq(bench.answer->prompt_tokens.value(), 0);
}

// Guards against a plain call losing the key with which the service recognizes repeats.
Test(service_client, passes_the_call_through)
{
    upstream_bench bench;
    std::string seen;
    bench.handle(
        [&](exchange_pointer const& it)
        {
            seen = it->method() + " " + it->path() + " " + it->body() + " " +
                   std::string(it->header("idempotency-key"));
            it->respond_text(201, "application/json", "{}");
        });
    auto work = create_work();
    work.method = "PUT";
    work.path = "/entries/4";
    work.body = "{\"n\":1}";
    service_client service(bench.settings, bench.client);
    bench.run(service, work);
    cr_assert_eq(seen, "PUT /entries/4 {\"n\":1} key-0001");
    cr_assert_eq(bench.answer->status, 201);
    cr_assert(!bench.answer->prompt_tokens, "the gate charges the fixed price");
}

// Guards against a lost connection being taken for proof that a call did not run, and a refused one
// for a call that may have run (I4, I5).
Test(service_client, only_a_refused_connection_is_not_started)
{
    upstream_bench bench;
    bench.handle([&](exchange_pointer const&) { bench.server->drop_connections(); });
    service_client service(bench.settings, bench.client);
    bench.run(service, create_work());
    cr_assert(bench.failure == call_failure::connection_lost);
    cr_assert(!bench.is_not_started);

    bench.failure.reset();
    bench.server->close_listener();
    bench.run(service, create_work());
    cr_assert(bench.is_not_started);
    cr_assert(!bench.failure);
}

// Guards against a partial start with a misspelt or missing setting.
Test(agent_settings, names_file_member_and_expected_value)
{
    std::string const valid =
        R"({"name":"agent-m1","upstream":"m1","listen":"127.0.0.1:1","advertise":"127.0.0.1:1",)"
        R"("availability_zone":"a","upstream_address":"127.0.0.1:2","upstream_kind":"engine",)"
        R"("upstream_checks_fencing":false,"routers":["127.0.0.1:3"])";
    cr_assert(agent_settings::load(write_settings(valid + "}")).ok());
    auto const unknown = agent_settings::load(write_settings(valid + R"(,"slotz":1})")).status();
    cr_assert_eq(
        std::string(unknown.message()), "agent-settings-test.json: unknown member \"slotz\"");
    auto const wrong = agent_settings::load(write_settings(valid + R"(,"slots":0})")).status();
    cr_assert_eq(code_of(wrong), result_code::invalid_settings);
    cr_assert_eq(
        std::string(wrong.message()),
        "agent-settings-test.json: member \"slots\": expected an integer from 1 to 4096");
    std::remove("agent-settings-test.json");
}
