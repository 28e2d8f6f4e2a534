#include <almondcart/core/json.hpp>
#include <almondcart/http/http_client.hpp>

#include <criterion/criterion.h>

#include <optional>
#include <string>

#include "engine/engine_standin.hpp"
#include "log/log_standin.hpp"

using namespace almondcart;

namespace {

/// Response to one call, or its error.
struct answer
{
    std::optional<absl::Status> result;
    std::string body;

    bool is_ok() const { return result.has_value() && result->ok(); }
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

    void begin(std::string const& path, std::string const& body, answer& into)
    {
        http_request request;
        request.address = server->address();
        request.method = body.empty() ? "GET" : "POST";
        request.path = path;
        request.body = body;
        http_callbacks callbacks;
        callbacks.on_body = [&into](std::string_view data) { into.body += data; };
        callbacks.on_done = [&into](absl::Status status) { into.result = std::move(status); };
        client.request(std::move(request), std::move(callbacks));
    }

    answer call(std::string const& path, std::string const& body)
    {
        answer it;
        begin(path, body, it);
        loop.run_until([&] { return it.result.has_value(); });
        return it;
    }

    answer append(std::string const& stream, int value)
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

// Guards against offsets that are shared between streams or reused.
Test(log_standin, each_stream_has_its_own_offsets)
{
    log_fixture it;
    auto const results =
        it.call(
              "/v1/append",
              R"({"batches":[{"stream":"a","records":[{"n":1},{"n":2}]},{"stream":"b","records":[{}]}]})")
            .json()["results"];
    cr_assert_eq(results[0]["first_offset"].asInt(), 0);
    cr_assert_eq(results[1]["first_offset"].asInt(), 0);
    cr_assert_eq(it.append("a", 3).json()["results"][0]["first_offset"].asInt(), 2);
    auto const stream = it.read("a", 1);
    cr_assert_eq(stream["next_offset"].asInt(), 3);
    cr_assert_eq(stream["records"].size(), 2);
    cr_assert_eq(stream["records"][1]["offset"].asInt(), 2);
    cr_assert_eq(stream["records"][1]["data"]["n"].asInt(), 3);
    cr_assert_eq(it.call("/stats", "").json()["appends"].asInt(), 2);
}

// Guards against a long poll that misses an append to its second stream.
Test(log_standin, long_poll_wakes_for_any_of_its_streams)
{
    log_fixture it;
    answer poll;
    it.begin(
        "/v1/read",
        R"({"positions":[{"stream":"a","from":0},{"stream":"b","from":0}],"wait_ms":600000})",
        poll);
    it.append("c", 1);
    cr_assert(!poll.result.has_value());
    it.append("b", 2);
    it.loop.run_until([&] { return poll.result.has_value(); });
    auto const streams = poll.json()["streams"];
    cr_assert_eq(streams[0]["records"].size(), 0);
    cr_assert_eq(streams[1]["records"][0]["data"]["n"].asInt(), 2);
}

// Guards against readers that are not told that records they need have expired.
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

// Guards against a lost response being treated as an append that had no effect.
Test(log_standin, lost_answer_takes_effect)
{
    log_fixture it;
    it.call("/faults", R"({"mode":"lose_answers","count":1})");
    cr_assert(!it.append("a", 1).is_ok());
    cr_assert_eq(it.read("a", 0)["records"].size(), 1);
    cr_assert(it.append("a", 2).is_ok());
}

// Guards against an outage that applies appends, or leaves long polls waiting.
Test(log_standin, down_has_no_effect)
{
    log_fixture it;
    answer poll;
    it.begin("/v1/read", R"({"positions":[{"stream":"a","from":0}],"wait_ms":600000})", poll);
    it.append("b", 1);
    it.call("/faults", R"({"mode":"down"})");
    it.loop.run_until([&] { return poll.result.has_value(); });
    cr_assert(!poll.is_ok());
    cr_assert(!it.append("a", 1).is_ok());
    it.call("/faults", R"({"mode":"up"})");
    cr_assert_eq(it.read("a", 0)["records"].size(), 0);
}

// Guards against expiry on demand removing records that are newer than the bound.
Test(log_standin, expires_records_on_demand)
{
    log_fixture it;
    it.append("a", 1);
    it.wall_time_ms = 2000;
    it.append("a", 2);
    it.call("/faults", R"({"mode":"up","expire_before_ms":2000})");
    cr_assert_eq(it.read("a", 0)["first_offset"].asInt(), 1);
}

namespace {

/// Engine with a caller.
struct engine_fixture
{
    answer call(std::string const& method, std::string const& path, std::string const& body)
    {
        answer it;
        http_request request;
        request.address = server->address();
        request.method = method;
        request.path = path;
        request.headers = {{"request-id", "r1"}};
        request.body = body;
        http_callbacks callbacks;
        callbacks.on_body = [&it](std::string_view data) { it.body += data; };
        callbacks.on_done = [&it](absl::Status status) { it.result = std::move(status); };
        client.request(std::move(request), std::move(callbacks));
        loop.run_until([&] { return it.result.has_value(); });
        return it;
    }

    answer complete(std::string const& prompt)
    {
        return call(
            "POST",
            "/v1/chat/completions",
            R"({"max_tokens":5,"messages":[{"role":"user","content":")" + prompt + R"("}]})");
    }

    static engine_standin_settings settings()
    {
        engine_standin_settings it;
        it.token_interval = duration(1);
        it.is_fencing_checked = true;
        it.crash_marker = "POISON";
        it.restart_time = duration(1);
        return it;
    }

    event_loop loop;
    std::unique_ptr<http_server> server = http_server::create(loop, {"127.0.0.1:0"}).value();
    http_client client{loop};
    engine_standin engine{loop, *server, settings()};
};

} // namespace

// Guards against answers that a test cannot tell apart, and against wrong usage figures.
Test(engine_standin, answer_is_a_function_of_the_request)
{
    engine_fixture it;
    auto const first = it.complete("one two three");
    cr_assert(first.is_ok());
    std::string expected;
    for (auto const& word : engine_standin::expected_output("one two three", 5))
        expected += (expected.empty() ? "" : " ") + word;
    auto const json = first.json();
    cr_assert_eq(json["choices"][0]["message"]["content"].asString(), expected);
    cr_assert_eq(json["usage"]["prompt_tokens"].asInt(), 3);
    cr_assert_eq(json["usage"]["completion_tokens"].asInt(), 5);
    cr_assert_eq(it.call("GET", "/stats", "").json()["executions"]["r1"].asInt(), 1);
}

// Guards against a resumed stream that repeats or omits words.
Test(engine_standin, resumes_from_position)
{
    engine_fixture it;
    cr_assert(it.complete("one").is_ok());
    auto const rest = it.call("GET", "/v1/requests/r1?position=3", "");
    cr_assert(rest.is_ok());
    cr_assert(rest.body.find("\"position\":2") == std::string::npos);
    cr_assert(rest.body.find("\"position\":3") != std::string::npos);
    cr_assert(rest.body.find("\"position\":4") != std::string::npos);
    cr_assert(rest.body.ends_with("data: [DONE]\n\n"));
}

// Guards against a crash that answers its request, or that the engine does not recover from.
Test(engine_standin, crashes_on_marked_prompt_and_restarts)
{
    engine_fixture it;
    cr_assert(!it.complete("a POISON b").is_ok());
    answer stats;
    while (!stats.is_ok())
        stats = it.call("GET", "/stats", "");
    cr_assert_eq(stats.json()["crashes"].asInt(), 1);
    cr_assert(it.complete("harmless").is_ok());
}

// Guards against a stale order being applied by an engine that checks.
Test(engine_standin, rejects_stale_order)
{
    engine_fixture it;
    it.call("POST", "/orders", R"({"fencing_number":7,"kind":"load"})");
    it.call("POST", "/orders", R"({"fencing_number":6,"kind":"load"})");
    cr_assert_eq(it.call("GET", "/stats", "").json()["orders"].size(), 1);
}
