#include <almondcart/core/json.hpp>
#include <almondcart/http/http_client.hpp>

#include <criterion/criterion.h>

#include <optional>
#include <string>

#include "engine/engine_standin.hpp"
#include "log/log_standin.hpp"

using namespace almondcart;

namespace {

/// Body and final status of an HTTP call.
struct call_result
{
    std::optional<absl::Status> status;
    std::string body;

    bool is_ok() const { return status.has_value() && status->ok(); }
    Json::Value json() const { return parse_json(body).value(); }
};

struct log_fixture
{
    explicit log_fixture(log_standin_settings settings = {})
        : log(loop, *server, with_clock(std::move(settings)))
    {}

    log_standin_settings with_clock(log_standin_settings settings)
    {
        settings.wall_time_ms = [this] { return wall_time_ms; };
        return settings;
    }

    void start_call(std::string const& path, std::string const& body, call_result& result)
    {
        http_request request;
        request.address = server->address();
        request.method = body.empty() ? "GET" : "POST";
        request.path = path;
        request.body = body;
        http_callbacks callbacks;
        callbacks.on_body = [&result](std::string_view data) { result.body += data; };
        callbacks.on_done = [&result](absl::Status status) { result.status = std::move(status); };
        client.request(std::move(request), std::move(callbacks));
    }

    call_result call(std::string const& path, std::string const& body)
    {
        call_result result;
        start_call(path, body, result);
        loop.run_until([&] { return result.status.has_value(); });
        return result;
    }

    call_result append(std::string const& stream, int value)
    {
        return call(
            "/v1/append",
            R"({"batches":[{"stream":")" + stream + R"(","records":[{"n":)" +
                std::to_string(value) + "}]}]}");
    }

    Json::Value read(std::string const& stream, int from)
    {
        return call(
                   "/v1/read",
                   R"({"positions":[{"stream":")" + stream + R"(","from":)" + std::to_string(from) +
                       "}]}")
            .json()["streams"][0];
    }

    std::int64_t wall_time_ms = 1000;
    event_loop loop;
    std::unique_ptr<http_server> server = http_server::create(loop, {"127.0.0.1:0"}).value();
    http_client client{loop};
    log_standin log;
};

} // namespace

// Guards against streams that share offsets, and against offsets that are reused.
Test(log_standin, each_stream_has_its_own_offsets)
{
    log_fixture fixture;
    auto const results =
        fixture
            .call(
                "/v1/append",
                R"({"batches":[{"stream":"a","records":[{"n":1},{"n":2}]},{"stream":"b","records":[{}]}]})")
            .json()["results"];
    cr_assert_eq(results[0]["first_offset"].asInt(), 0);
    cr_assert_eq(results[1]["first_offset"].asInt(), 0);
    cr_assert_eq(fixture.append("a", 3).json()["results"][0]["first_offset"].asInt(), 2);
    auto const stream = fixture.read("a", 1);
    cr_assert_eq(stream["next_offset"].asInt(), 3);
    cr_assert_eq(stream["records"].size(), 2);
    cr_assert_eq(stream["records"][1]["offset"].asInt(), 2);
    cr_assert_eq(stream["records"][1]["data"]["n"].asInt(), 3);
    cr_assert_eq(fixture.call("/stats", "").json()["appends"].asInt(), 2);
}

// Guards against a long poll that misses an append to a stream other than its first.
Test(log_standin, long_poll_wakes_for_any_of_its_streams)
{
    log_fixture fixture;
    call_result poll;
    fixture.start_call(
        "/v1/read",
        R"({"positions":[{"stream":"a","from":0},{"stream":"b","from":0}],"wait_ms":600000})",
        poll);
    fixture.append("c", 1);
    cr_assert(!poll.status.has_value());
    fixture.append("b", 2);
    fixture.loop.run_until([&] { return poll.status.has_value(); });
    auto const streams = poll.json()["streams"];
    cr_assert_eq(streams[0]["records"].size(), 0);
    cr_assert_eq(streams[1]["records"][0]["data"]["n"].asInt(), 2);
}

// Guards against a read response that hides the expiry of the requested records.
Test(log_standin, retention_raises_first_offset)
{
    log_fixture by_count(log_standin_settings{0, 2, {}});
    for (int i = 0; i < 5; ++i)
        by_count.append("a", i);
    cr_assert_eq(by_count.read("a", 0)["first_offset"].asInt(), 3);
    cr_assert_eq(by_count.read("a", 0)["records"][0]["offset"].asInt(), 3);

    log_fixture by_age(log_standin_settings{100, 0, {}});
    by_age.append("a", 0);
    by_age.wall_time_ms += 101;
    by_age.append("a", 1);
    cr_assert_eq(by_age.read("a", 0)["first_offset"].asInt(), 1);
}

// Guards against a lost response that also discards the append.
Test(log_standin, append_with_lost_response_takes_effect)
{
    log_fixture fixture;
    fixture.call("/faults", R"({"mode":"lose_answers","count":1})");
    cr_assert(!fixture.append("a", 1).is_ok());
    cr_assert_eq(fixture.read("a", 0)["records"].size(), 1);
    cr_assert(fixture.append("a", 2).is_ok());
}

// Guards against an outage that applies appends or leaves long polls open.
Test(log_standin, calls_during_outage_have_no_effect)
{
    log_fixture fixture;
    call_result poll;
    fixture.start_call(
        "/v1/read", R"({"positions":[{"stream":"a","from":0}],"wait_ms":600000})", poll);
    fixture.append("b", 1);
    fixture.call("/faults", R"({"mode":"down"})");
    fixture.loop.run_until([&] { return poll.status.has_value(); });
    cr_assert(!poll.is_ok());
    cr_assert(!fixture.append("a", 1).is_ok());
    fixture.call("/faults", R"({"mode":"up"})");
    cr_assert_eq(fixture.read("a", 0)["records"].size(), 0);
}

// Guards against `expire_before_ms` removing records that are not older than the bound.
Test(log_standin, expires_records_on_demand)
{
    log_fixture fixture;
    fixture.append("a", 1);
    fixture.wall_time_ms = 2000;
    fixture.append("a", 2);
    fixture.call("/faults", R"({"mode":"up","expire_before_ms":2000})");
    cr_assert_eq(fixture.read("a", 0)["first_offset"].asInt(), 1);
}

namespace {

/// Engine stand-in with an HTTP client.
struct engine_fixture
{
    call_result call(std::string const& method, std::string const& path, std::string const& body)
    {
        call_result result;
        http_request request;
        request.address = server->address();
        request.method = method;
        request.path = path;
        request.headers = {{"request-id", "r1"}};
        request.body = body;
        http_callbacks callbacks;
        callbacks.on_body = [&result](std::string_view data) { result.body += data; };
        callbacks.on_done = [&result](absl::Status status) { result.status = std::move(status); };
        client.request(std::move(request), std::move(callbacks));
        loop.run_until([&] { return result.status.has_value(); });
        return result;
    }

    call_result complete(std::string const& prompt)
    {
        return call(
            "POST",
            "/v1/chat/completions",
            R"({"max_tokens":5,"messages":[{"role":"user","content":")" + prompt + R"("}]})");
    }

    static engine_standin_settings settings()
    {
        engine_standin_settings result;
        result.token_interval = duration(1);
        result.is_fencing_checked = true;
        result.crash_marker = "POISON";
        result.restart_time = duration(1);
        return result;
    }

    event_loop loop;
    std::unique_ptr<http_server> server = http_server::create(loop, {"127.0.0.1:0"}).value();
    http_client client{loop};
    engine_standin engine{loop, *server, settings()};
};

} // namespace

// Guards against outputs that tests cannot predict, and against wrong usage counts.
Test(engine_standin, output_depends_on_the_request_alone)
{
    engine_fixture fixture;
    auto const first = fixture.complete("one two three");
    cr_assert(first.is_ok());
    std::string expected;
    for (auto const& word : engine_standin::expected_output("one two three", 5))
        expected += (expected.empty() ? "" : " ") + word;
    auto const json = first.json();
    cr_assert_eq(json["choices"][0]["message"]["content"].asString(), expected);
    cr_assert_eq(json["usage"]["prompt_tokens"].asInt(), 3);
    cr_assert_eq(json["usage"]["completion_tokens"].asInt(), 5);
    cr_assert_eq(fixture.call("GET", "/stats", "").json()["executions"]["r1"].asInt(), 1);
}

// Guards against a resumed stream that repeats or skips words.
Test(engine_standin, resumes_from_position)
{
    engine_fixture fixture;
    cr_assert(fixture.complete("one").is_ok());
    auto const rest = fixture.call("GET", "/v1/requests/r1?position=3", "");
    cr_assert(rest.is_ok());
    cr_assert(rest.body.find("\"position\":2") == std::string::npos);
    cr_assert(rest.body.find("\"position\":3") != std::string::npos);
    cr_assert(rest.body.find("\"position\":4") != std::string::npos);
    cr_assert(rest.body.ends_with("data: [DONE]\n\n"));
}

// Guards against a crash that still answers the request, and against an engine that stays down.
Test(engine_standin, crashes_on_marked_prompt_and_restarts)
{
    engine_fixture fixture;
    cr_assert(!fixture.complete("a POISON b").is_ok());
    call_result stats;
    while (!stats.is_ok())
        stats = fixture.call("GET", "/stats", "");
    cr_assert_eq(stats.json()["crashes"].asInt(), 1);
    cr_assert(fixture.complete("harmless").is_ok());
}

// Guards against an engine with fencing checks that applies an order with a stale fencing number.
Test(engine_standin, rejects_stale_order)
{
    engine_fixture fixture;
    fixture.call("POST", "/orders", R"({"fencing_number":7,"kind":"load"})");
    fixture.call("POST", "/orders", R"({"fencing_number":6,"kind":"load"})");
    cr_assert_eq(fixture.call("GET", "/stats", "").json()["orders"].size(), 1);
}
