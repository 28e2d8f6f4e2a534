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
#include "support/faulty_server.hpp"
#include "support/process_memory.hpp"

using namespace almondcart;
using namespace almondcart::test_support;

namespace {

using exchange_pointer = std::shared_ptr<http_exchange>;

/// HTTP server that acts as the upstream, and the events that the client under test reports.
struct upstream_fixture
{
    upstream_fixture()
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
        events.finished = [this](upstream_response it) { response = std::move(it); };
        events.failed = [this](std::string_view, call_failure it) { failure = it; };
        events.not_started = [this](std::string_view) { is_not_started = true; };
        upstream.start(1, work, std::move(events));
        loop.run_until([this] { return response || failure || is_not_started; });
    }

    event_loop loop;
    std::unique_ptr<http_server> server;
    http_client client{loop};
    agent_settings settings;
    std::vector<std::string> outputs;
    token_count output_tokens = 0;
    std::optional<upstream_response> response;
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

// Guards against losing or merging events that arrive in several reads.
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

// Guards against an engine that produces output beyond the cap, and against sending the client the
// engine's usage in addition to the billed usage.
Test(engine_client, sets_the_cap_and_reads_usage)
{
    upstream_fixture fixture;
    std::string sent;
    fixture.handle(
        [&](exchange_pointer const& it)
        {
            sent = it->body();
            it->respond_text(200, "text/event-stream", std::string(chunks) + "data: [DONE]\n\n");
        });
    engine_client engine(fixture.settings, fixture.client);
    fixture.run(engine, create_work());
    auto const body = parse_json(sent).value();
    cr_assert_eq(body["max_tokens"].asInt(), 7);
    cr_assert(body["stream"].asBool());
    cr_assert(fixture.response.has_value());
    cr_assert_eq(fixture.response->prompt_tokens.value(), 3);
    cr_assert_eq(fixture.response->output_tokens.value(), 2);
    cr_assert_eq(fixture.output_tokens, 2);
    cr_assert_eq(fixture.outputs.size(), 3);
    cr_assert_eq(fixture.outputs[2].find("usage"), std::string::npos);
}

// Guards against delivering an incomplete response as a complete one (I3).
Test(engine_client, early_end_is_a_failure)
{
    upstream_fixture fixture;
    fixture.handle(
        [](exchange_pointer const& it)
        {
            it->respond_text(
                200,
                "text/event-stream",
                "data: {\"choices\":[{\"delta\":{\"content\":\"a\"}}]}\n\n");
        });
    engine_client engine(fixture.settings, fixture.client);
    fixture.run(engine, create_work());
    cr_assert(fixture.failure == call_failure::incomplete);
    cr_assert_eq(fixture.output_tokens, 1);
}

// Guards against billing an engine's error response as output.
Test(engine_client, error_response_produces_no_tokens)
{
    upstream_fixture fixture;
    fixture.handle([](exchange_pointer const& it)
                   { it->respond_text(400, "application/json", R"({"error":"bad"})"); });
    engine_client engine(fixture.settings, fixture.client);
    fixture.run(engine, create_work());
    cr_assert_eq(fixture.response->status, 400);
    cr_assert_eq(fixture.response->data, R"({"error":"bad"})");
    cr_assert_eq(fixture.response->prompt_tokens.value(), 0);
}

// Guards against dropping the request key, by which a service detects repeated calls.
Test(service_client, passes_the_call_through)
{
    upstream_fixture fixture;
    std::string received;
    fixture.handle(
        [&](exchange_pointer const& it)
        {
            received = it->method() + " " + it->path() + " " + it->body() + " " +
                       std::string(it->header("idempotency-key"));
            it->respond_text(201, "application/json", "{}");
        });
    auto work = create_work();
    work.method = "PUT";
    work.path = "/entries/4";
    work.body = "{\"n\":1}";
    service_client service(fixture.settings, fixture.client);
    fixture.run(service, work);
    cr_assert_eq(received, "PUT /entries/4 {\"n\":1} key-0001");
    cr_assert_eq(fixture.response->status, 201);
    cr_assert(!fixture.response->prompt_tokens, "the gate charges the fixed price");
}

// Guards against treating a lost connection as proof that the call did not run, and a refused
// connection as a call that may have run (I4, I5).
Test(service_client, only_a_refused_connection_is_not_started)
{
    upstream_fixture fixture;
    fixture.handle([&](exchange_pointer const&) { fixture.server->drop_connections(); });
    service_client service(fixture.settings, fixture.client);
    fixture.run(service, create_work());
    cr_assert(fixture.failure == call_failure::connection_lost);
    cr_assert(!fixture.is_not_started);

    fixture.failure.reset();
    fixture.server->close_listener();
    fixture.run(service, create_work());
    cr_assert(fixture.is_not_started);
    cr_assert(!fixture.failure);
}

namespace {

/// Sends several calls at once to an upstream that replies without end, and checks that each fails
/// and that the process stays within the memory of the smallest machine for agents.
template<class Client>
void check_responses_without_end(std::string const& begin, std::string const& repeated)
{
    constexpr int call_count = 24;
    constexpr int memory_mb = 64;
    constexpr duration time_limit{20'000};
    event_loop loop;
    http_client client(loop);
    faulty_server server(
        loop,
        [&](std::string const&) {
            return faulty_server::reply{begin, repeated};
        });
    agent_settings settings;
    settings.upstream_address = server.address();
    settings.memory_mb = memory_mb;
    settings.first_byte_timeout = duration(1'000);
    settings.idle_timeout = duration(1'000);
    Client upstream(settings, client);
    std::vector<call_failure> failures;
    auto work = create_work();
    work.is_idempotent = true;
    for (int n = 1; n <= call_count; ++n)
    {
        upstream_events events;
        events.output = [](std::string const&, token_count) {};
        events.finished = [](upstream_response const&) { cr_assert_fail("a whole response"); };
        events.failed = [&](std::string_view, call_failure it) { failures.push_back(it); };
        events.not_started = [](std::string_view) { cr_assert_fail("a call that did not start"); };
        upstream.start(static_cast<std::uint64_t>(n), work, std::move(events));
    }
    auto const end = loop.now() + time_limit;
    loop.run_until([&] { return failures.size() == call_count || loop.now() >= end; });
    cr_assert_eq(failures.size(), call_count, "%zu calls ended", failures.size());
    auto const peak = peak_memory_kb();
    cr_assert_gt(peak, 0);
    cr_assert_lt(peak, memory_mb * 1000L, "peak memory %ld kB", peak);
}

std::string filler()
{
    return std::string(std::size_t{64} * 1024, 'x');
}

} // namespace

// A service sends a head without end to many calls at once. Guards against an agent that keeps them
// all and is killed with all its calls.
Test(service_client, heads_without_end_fail_within_the_memory)
{
    check_responses_without_end<service_client>("HTTP/1.1 200 OK\r\nX-Odd: ", filler());
}

// The same, with a body.
Test(service_client, bodies_without_end_fail_within_the_memory)
{
    check_responses_without_end<service_client>("HTTP/1.1 200 OK\r\n\r\n", filler());
}

// An engine sends an event without end to many calls at once.
Test(engine_client, events_without_end_fail_within_the_memory)
{
    check_responses_without_end<engine_client>("HTTP/1.1 200 OK\r\n\r\ndata: ", filler());
}

// An engine sends an error response without end to many calls at once.
Test(engine_client, errors_without_end_fail_within_the_memory)
{
    check_responses_without_end<engine_client>("HTTP/1.1 500 Odd\r\n\r\n", filler());
}

// An upstream replies with a status that no response can have. Guards against an agent that hands
// it to the router as an answer.
Test(service_client, a_status_that_no_response_can_have_is_a_failure)
{
    for (std::string const status : {"000", "101", "999"})
    {
        event_loop loop;
        http_client client(loop);
        faulty_server server(
            loop,
            [&](std::string const&) {
                return faulty_server::reply{
                    "HTTP/1.1 " + status + " Odd\r\nContent-Length: 2\r\n\r\nok", {}};
            });
        agent_settings settings;
        settings.upstream_address = server.address();
        service_client service(settings, client);
        std::optional<call_failure> failure;
        upstream_events events;
        events.finished = [](upstream_response const&) { cr_assert_fail("an answer"); };
        events.failed = [&](std::string_view, call_failure it) { failure = it; };
        events.not_started = [](std::string_view) { cr_assert_fail("a call that did not start"); };
        service.start(1, create_work(), std::move(events));
        loop.run_until([&] { return failure.has_value(); });
    }
}

// Guards against starting with a misspelt or invalid setting, and against errors that don't name
// the file, the member and the expected value.
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
