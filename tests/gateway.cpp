#include <almondcart/core/json.hpp>
#include <almondcart/http1/outbound_connection.hpp>

#include <criterion/criterion.h>
#include <platform/store_standin.hpp>
#include <platform/upstream_standin.hpp>

#include <csignal>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/child_process.hpp"
#include "support/tcp.hpp"

using namespace almondcart;
using namespace almondcart::test_support;
using standins::upstream_mode;
using standins::upstream_standin;

namespace {

/// Answer as a caller sees it.
struct caller_answer
{
    http1::response_head head;
    std::string body;
    std::optional<http1::exchange_outcome> end;

    bool is_complete() const { return end == http1::exchange_outcome::complete; }
    std::string header(std::string_view name) const
    {
        return std::string(find_header(head.headers, name).value_or(""));
    }
};

/// A gateway process before stand-ins for the store and two upstreams.
struct gateway_fixture
{
    gateway_fixture()
    {
        first.set_mode(upstream_mode::single_body);
        write_settings();
        start();
    }

    ~gateway_fixture()
    {
        std::remove(settings_file.c_str());
        std::remove(output_file.c_str());
    }

    void write_settings() const
    {
        Json::Value settings(Json::objectValue);
        settings["name"] = "entry-1";
        settings["availability_zone"] = "zone-1";
        settings["listen"] = listen;
        settings["readiness_listen"] = readiness;
        settings["status_listen"] = find_free_address();
        settings["peer_listen"] = peers;
        settings["store_address"] = store.address();
        settings["shutdown_grace_s"] = 8;
        std::ofstream(settings_file) << to_compact_json(settings);
    }

    void start()
    {
        gateway.emplace(
            std::vector<std::string>{
                ALMONDCART_BINARY_DIRECTORY "/services/almondcart-gateway",
                "--settings",
                settings_file},
            output_file);
    }

    /// Configuration with one route for each kind of request to the service "models".
    void configure(int version, std::int64_t prepaid, std::string const& key = "key-1")
    {
        Json::Value config(Json::objectValue);
        config["version"] = version;
        auto const add_route = [&](char const* path, char const* kind, bool is_resumable, int limit)
        {
            Json::Value route(Json::objectValue);
            route["name"] = path;
            route["hostname"] = "club.example";
            route["pathPrefix"] = path;
            route["kind"] = kind;
            route["timeoutMs"] = 2000;
            route["backend"] = "models";
            route["attempts"] = limit;
            route["streamResume"] = is_resumable;
            config["routes"].append(route);
        };
        add_route("/safe/", "safe", false, 2);
        add_route("/unsafe/", "unsafe", false, 1);
        add_route("/stream/", "streaming", false, 1);
        add_route("/resume/", "streaming", true, 2);
        Json::Value service(Json::objectValue);
        service["name"] = "models";
        service["engine"]["slots"] = 8;
        service["engine"]["stride"] = 4;
        config["backends"].append(service);
        Json::Value account(Json::objectValue);
        account["name"] = "club";
        account["apiKeys"].append(key);
        account["prepaid"] = Json::Int64(prepaid);
        config["tenants"].append(account);
        store.put("keyed.op", "config", to_compact_json(config));
    }

    void add(upstream_standin const& upstream, std::string const& state = "ready")
    {
        store.put("keyed.servers", upstream.id(), upstream.registry_entry("models", state));
    }

    void run_until(std::function<bool()> const& is_done) { loop.run_until(is_done); }

    /// What the process has written so far.
    std::string output() const
    {
        std::ifstream file(output_file);
        return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    }

    /// Sends a request and does not wait.
    std::shared_ptr<caller_answer> send(
        std::string const& address,
        std::string const& method,
        std::string const& path,
        http_headers headers = {})
    {
        auto const answer = std::make_shared<caller_answer>();
        auto const connection =
            std::make_shared<http1::outbound_connection>(loop, *socket_address::parse(address));
        connections.push_back(connection);
        http1::outbound_connection::exchange_callbacks callbacks;
        callbacks.on_head = [answer](http1::response_head const& it)
        {
            answer->head = it;
            return true;
        };
        callbacks.on_body = [answer](std::string_view data) { answer->body += data; };
        callbacks.on_end = [answer](http1::exchange_outcome it) { answer->end = it; };
        headers.emplace_back("Host", "club.example");
        std::string text = method + " " + path + " HTTP/1.1\r\n";
        http1::append_headers(text, headers);
        connection->send(method, text + "Content-Length: 0\r\n\r\n", std::move(callbacks));
        return answer;
    }

    static http_headers caller_headers(std::string const& id, std::string const& key = "key-1")
    {
        return {
            {"X-Almondcart-Request-Id", id},
            {"X-Almondcart-Deadline-Ms", "1500"},
            {"Authorization", "Bearer " + key}};
    }

    caller_answer
    ask(std::string const& path, std::string const& id, std::string const& key = "key-1")
    {
        return ask(path, caller_headers(id, key));
    }

    caller_answer ask(std::string const& path, http_headers const& headers)
    {
        auto const answer = send(listen, "POST", path, headers);
        loop.run_until([&] { return answer->end.has_value(); });
        return *answer;
    }

    int readiness_status()
    {
        auto const answer = send(readiness, "GET", "/-/ready");
        loop.run_until([&] { return answer->end.has_value(); });
        return answer->head.status;
    }

    void wait_until_ready()
    {
        loop.run_until([&] { return readiness_status() == 200; });
    }

    /// Two upstreams and a configuration, in force.
    void start_serving(std::int64_t prepaid = 1'000'000)
    {
        configure(1, prepaid);
        add(first);
        add(second);
        wait_until_ready();
        // The second entry may arrive after the first one has made the gateway ready.
        for (int n = 0; first.request_heads().empty() || second.request_heads().empty(); ++n)
            ask("/safe/", "warm-" + std::to_string(n));
    }

    event_loop loop;
    standins::store_standin store{loop};
    upstream_standin first{loop, "i-1"};
    upstream_standin second{loop, "i-2"};
    std::string listen = find_free_address();
    std::string readiness = find_free_address();
    std::string peers = find_free_address();
    std::string settings_file = "/tmp/almondcart-gateway-" + std::to_string(getpid()) + ".json";
    std::string output_file = settings_file + ".log";
    /// Requests that succeed, which earn the retries that a test needs.
    void earn_retries()
    {
        for (int n = 0; n < 40; ++n)
            ask("/safe/", "earn-" + std::to_string(n));
    }

    std::vector<std::shared_ptr<http1::outbound_connection>> connections;
    std::optional<child_process> gateway;
};

std::string events(int first, int last)
{
    std::string text;
    for (int id = first; id <= last; ++id)
        text += "id: " + std::to_string(id) + "\ndata: word\n\n";
    return text;
}

http_headers sized(std::string const& id, int input, int output)
{
    auto headers = gateway_fixture::caller_headers(id);
    headers.emplace_back(
        "X-Almondcart-Token-Count", std::to_string(input) + "," + std::to_string(output));
    return headers;
}

} // namespace

// Guards against refusals that are no refusals, and against service without a configuration.
Test(gateway, refuses_truthfully_what_it_cannot_serve)
{
    gateway_fixture it;
    it.run_until([&] { return it.readiness_status() == 503; });
    auto const early = it.ask("/safe/", "r-0");
    cr_assert_eq(early.head.status, 503);
    cr_assert_not(early.header("Retry-After").empty());
    it.start_serving();
    cr_assert_eq(it.ask("/safe/x", "r-1", "other").head.status, 401);
    cr_assert_eq(it.ask("/none/", "r-2").head.status, 404);
    cr_assert_eq(it.ask("/safe/x", http_headers{}).head.status, 400);
    it.first.set_mode(upstream_mode::not_executed);
    it.second.set_mode(upstream_mode::not_executed);
    auto const full = it.ask("/unsafe/x", "r-3");
    cr_assert_eq(full.head.status, 503);
    cr_assert_not(full.header("Retry-After").empty());
    cr_assert(it.first.execution_counts().find("r-3") == it.first.execution_counts().end());
}

// Guards against changed requests and answers.
Test(gateway, passes_requests_and_answers_on)
{
    gateway_fixture it;
    it.start_serving();
    auto const whole = it.ask("/unsafe/x?y=1", "r-1");
    cr_assert_eq(whole.head.status, 200);
    cr_assert(whole.body.starts_with("answer of i-"));
    cr_assert(whole.header("X-Almondcart-Response-Seal").starts_with("seal-i-"));
    auto const& ran = it.first.execution_counts().contains("r-1") ? it.first : it.second;
    auto const& head = ran.request_heads().back();
    cr_assert_eq(head.target, "/unsafe/x?y=1");
    cr_assert_eq(*find_header(head.headers, "X-Almondcart-Tenant"), "club");
    cr_assert_eq(*find_header(head.headers, "X-Almondcart-Expect-Instance"), ran.id());
    cr_assert_not(find_header(head.headers, "Authorization").has_value());
    it.first.set_mode(upstream_mode::stream);
    it.second.set_mode(upstream_mode::stream);
    auto const stream = it.ask("/stream/x", "r-2");
    cr_assert(stream.is_complete());
    cr_assert_eq(stream.body, events(1, upstream_standin::event_count));
}

// Guards against running a request twice that must not be repeated.
Test(gateway, a_lost_answer_is_repeated_only_where_that_is_allowed)
{
    gateway_fixture it;
    it.start_serving();
    it.earn_retries();
    it.first.set_mode(upstream_mode::dropped_connection);
    it.second.set_mode(upstream_mode::dropped_connection);
    auto const unsafe = it.ask("/unsafe/x", "r-1");
    cr_assert_eq(unsafe.head.status, 502);
    cr_assert_eq(
        it.first.execution_counts().count("r-1") + it.second.execution_counts().count("r-1"), 1);
    it.second.set_mode(upstream_mode::single_body);
    for (int n = 0; n < 4; ++n)
        cr_assert_eq(it.ask("/safe/x", "s-" + std::to_string(n)).head.status, 200);
}

// Guards against an answer that belongs to another request.
Test(gateway, an_answer_to_another_request_is_not_passed_on)
{
    gateway_fixture it;
    it.start_serving();
    it.first.set_mode(upstream_mode::mismatched_request_id);
    it.second.set_mode(upstream_mode::mismatched_request_id);
    auto const answer = it.ask("/unsafe/x", "r-1");
    cr_assert_eq(answer.head.status, 504);
    cr_assert_eq(answer.body.find("another"), std::string::npos);
}

// Guards against streams that lack an event, repeat one, or look complete although they were cut.
Test(gateway, a_cut_stream_goes_on_elsewhere_or_stays_incomplete)
{
    gateway_fixture it;
    it.start_serving();
    it.earn_retries();
    it.first.set_mode(upstream_mode::truncated_stream);
    it.second.set_mode(upstream_mode::truncated_stream);
    auto const resumed =
        it.send(it.listen, "POST", "/resume/x", gateway_fixture::caller_headers("r-1"));
    it.run_until([&] { return resumed->body.find("id: 3") != std::string::npos; });
    it.first.set_mode(upstream_mode::stream);
    it.second.set_mode(upstream_mode::stream);
    it.first.release();
    it.second.release();
    it.run_until([&] { return resumed->end.has_value(); });
    cr_assert(resumed->is_complete());
    cr_assert_eq(resumed->body, events(1, upstream_standin::event_count));
    it.first.set_mode(upstream_mode::truncated_stream);
    it.second.set_mode(upstream_mode::truncated_stream);
    auto const cut =
        it.send(it.listen, "POST", "/stream/x", gateway_fixture::caller_headers("r-2"));
    it.run_until([&] { return cut->body.find("id: 3") != std::string::npos; });
    it.first.release();
    it.second.release();
    it.run_until([&] { return cut->end.has_value(); });
    cr_assert_not(cut->is_complete());
    cr_assert_eq(cut->body, events(1, 3));
}

// Guards against work that goes on for a caller that has left.
Test(gateway, a_caller_that_leaves_ends_the_work_at_the_upstream)
{
    gateway_fixture it;
    it.start_serving();
    it.first.set_mode(upstream_mode::unresponsive);
    it.second.set_mode(upstream_mode::unresponsive);
    it.send(it.listen, "POST", "/stream/x", gateway_fixture::caller_headers("r-1"));
    it.run_until(
        [&]
        {
            return it.first.execution_counts().contains("r-1") ||
                   it.second.execution_counts().contains("r-1");
        });
    it.connections.pop_back();
    it.run_until([&] { return it.first.disconnect_count() + it.second.disconnect_count() == 1; });
}

// Guards against spending beyond the prepaid total, and against a top-up that has no effect.
Test(gateway, prepaid_tokens_end_and_are_topped_up)
{
    gateway_fixture it;
    it.start_serving(1'000);
    it.first.set_mode(upstream_mode::stream);
    it.second.set_mode(upstream_mode::stream);
    cr_assert_eq(it.ask("/stream/x", sized("r-1", 500, 40)).head.status, 200);
    cr_assert_eq(it.ask("/stream/x", sized("r-2", 500, 40)).head.status, 402);
    it.configure(2, 2'000);
    it.run_until([&] { return it.ask("/stream/x", sized("r-3", 500, 40)).head.status == 200; });
    auto const record = it.store.newest("keyed.prepaid-draws-0", "club/entry-1");
    cr_assert(record.has_value());
    cr_assert_leq((*parse_json(*record))["claimed_tokens"].asInt64(), 2'000);
}

// Guards against tokens that are lost, or spent twice, when the process is killed.
Test(gateway, a_restarted_process_goes_on_with_the_rest_of_the_total)
{
    gateway_fixture it;
    it.start_serving(3'000);
    it.first.set_mode(upstream_mode::stream);
    it.second.set_mode(upstream_mode::stream);
    cr_assert_eq(it.ask("/stream/x", sized("r-1", 900, 24)).head.status, 200);
    it.gateway->send_signal(SIGKILL);
    it.gateway->wait();
    it.start();
    it.wait_until_ready();
    cr_assert_eq(it.ask("/stream/x", sized("r-2", 900, 24)).head.status, 200);
    it.run_until([&] { return it.ask("/stream/x", sized("r-3", 900, 24)).head.status != 200; });
    auto const record = it.store.newest("keyed.prepaid-draws-0", "club/entry-1");
    cr_assert_leq((*parse_json(*record))["claimed_tokens"].asInt64(), 3'000);
}

// Guards against a removed key that still works, and a configuration that goes back.
Test(gateway, a_new_configuration_takes_effect_and_an_older_one_does_not)
{
    gateway_fixture it;
    it.start_serving();
    it.configure(5, 1'000'000, "key-2");
    it.run_until([&] { return it.ask("/safe/x", "r-1", "key-2").head.status == 200; });
    cr_assert_eq(it.ask("/safe/x", "r-2", "key-1").head.status, 401);
    it.configure(4, 1'000'000, "key-1");
    it.configure(6, 1'000'000, "key-3");
    it.run_until([&] { return it.ask("/safe/x", "r-3", "key-3").head.status == 200; });
    cr_assert_eq(it.ask("/safe/x", "r-4", "key-1").head.status, 401);
}

// Guards against work for an upstream that is leaving.
Test(gateway, a_draining_upstream_gets_no_work)
{
    gateway_fixture it;
    it.start_serving();
    it.add(it.first, "draining");
    // The change is in force once several requests in a row went elsewhere.
    int in_a_row = 0;
    for (int n = 0; in_a_row < 20; ++n)
    {
        auto const before = it.first.request_heads().size();
        cr_assert_eq(it.ask("/safe/x", "r-" + std::to_string(n)).head.status, 200);
        in_a_row = it.first.request_heads().size() == before ? in_a_row + 1 : 0;
    }
}

// Guards against a stop that cuts a request, and against tokens that stay drawn after it.
Test(gateway, a_stop_lets_requests_end_and_gives_tokens_back)
{
    gateway_fixture it;
    it.start_serving(10'000);
    it.first.set_mode(upstream_mode::stream);
    it.second.set_mode(upstream_mode::stream);
    it.first.set_streams_paused(true);
    it.second.set_streams_paused(true);
    auto const stream = it.send(it.listen, "POST", "/stream/x", sized("r-1", 100, 24));
    it.run_until([&] { return stream->body.find("id: 1") != std::string::npos; });
    it.gateway->send_signal(SIGTERM);
    it.run_until([&] { return it.readiness_status() == 503; });
    it.first.release();
    it.second.release();
    it.run_until([&] { return stream->end.has_value(); });
    cr_assert(stream->is_complete());
    cr_assert_eq(stream->body, events(1, upstream_standin::event_count));
    it.run_until(
        [&]
        {
            auto const record = it.store.newest("keyed.prepaid-draws-0", "club/entry-1");
            return record && (*parse_json(*record))["claimed_tokens"].asInt64() == 124;
        });
    // The process ends once the log has answered, and then the load balancer gets no answer.
    it.run_until([&] { return it.readiness_status() == 0; });
    cr_assert_eq(it.gateway->wait(), 0);
}

// Guards against a process that ends when it is told that its settings changed.
Test(gateway, a_reload_signal_cuts_no_request)
{
    gateway_fixture it;
    it.start_serving(10'000);
    it.first.set_mode(upstream_mode::stream);
    it.second.set_mode(upstream_mode::stream);
    it.first.set_streams_paused(true);
    it.second.set_streams_paused(true);
    auto const stream = it.send(it.listen, "POST", "/stream/x", sized("r-1", 100, 24));
    it.run_until([&] { return stream->body.find("id: 1") != std::string::npos; });
    it.gateway->send_signal(SIGHUP);
    it.run_until([&] { return it.output().find("settings reloaded") != std::string::npos; });
    it.first.release();
    it.second.release();
    it.run_until([&] { return stream->end.has_value(); });
    cr_assert(stream->is_complete());
    cr_assert_eq(it.readiness_status(), 200);
}

// Guards against a request that is held for ever by a silent upstream.
Test(gateway, a_silent_upstream_ends_in_an_unknown_outcome)
{
    gateway_fixture it;
    it.start_serving();
    it.first.set_mode(upstream_mode::unresponsive);
    it.second.set_mode(upstream_mode::unresponsive);
    cr_assert_eq(it.ask("/unsafe/x", "r-1").head.status, 504);
    it.second.set_mode(upstream_mode::single_body);
    cr_assert_eq(it.ask("/safe/x", "r-2").head.status, 200);
}
