#include <almondcart/http1/outbound_connection.hpp>

#include <criterion/criterion.h>
#include <fcntl.h>
#include <platform/store_standin.hpp>
#include <platform/upstream_standin.hpp>
#include <sys/stat.h>
#include <unistd.h>

#include <csignal>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/gateway_fixture.hpp"

using namespace almondcart;
using namespace almondcart::test_support;
using standins::upstream_mode;
using standins::upstream_standin;

// Guards against wrong status codes for requests that cannot be served, and against serving without
// a configuration.
Test(gateway, refuses_truthfully_what_it_cannot_serve)
{
    gateway_fixture it;
    it.run_until([&] { return it.readiness_status() == 503; });
    auto const before_configuration = it.ask("/safe/", "r-0");
    cr_assert_eq(before_configuration.head.status, 503);
    cr_assert_not(before_configuration.header("Retry-After").empty());
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

// Guards against altering requests and responses, apart from the headers that the gateway sets.
Test(gateway, passes_requests_and_answers_on)
{
    gateway_fixture it;
    it.start_serving();
    auto const complete = it.ask("/unsafe/x?y=1", "r-1");
    cr_assert_eq(complete.head.status, 200);
    cr_assert(complete.body.starts_with("answer of i-"));
    cr_assert(complete.header("X-Almondcart-Response-Seal").starts_with("seal-i-"));
    auto const& executor = it.first.execution_counts().contains("r-1") ? it.first : it.second;
    auto const& head = executor.request_heads().back();
    cr_assert_eq(head.target, "/unsafe/x?y=1");
    cr_assert_eq(*find_header(head.headers, "X-Almondcart-Tenant"), "club");
    cr_assert_eq(*find_header(head.headers, "X-Almondcart-Expect-Instance"), executor.id());
    cr_assert_not(find_header(head.headers, "Authorization").has_value());
    it.first.set_mode(upstream_mode::stream);
    it.second.set_mode(upstream_mode::stream);
    auto const stream = it.ask("/stream/x", "r-2");
    cr_assert(stream.is_complete());
    cr_assert_eq(stream.body, events(1, upstream_standin::event_count));
}

// Guards against running a non-idempotent request twice.
Test(gateway, a_lost_answer_is_repeated_only_where_that_is_allowed)
{
    gateway_fixture it;
    it.start_serving();
    it.fill_retry_budget();
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

// Guards against forwarding a response that belongs to another request.
Test(gateway, an_answer_to_another_request_is_not_passed_on)
{
    gateway_fixture it;
    it.start_serving();
    it.first.set_mode(upstream_mode::mismatched_request_id);
    it.second.set_mode(upstream_mode::mismatched_request_id);
    auto const response = it.ask("/unsafe/x", "r-1");
    cr_assert_eq(response.head.status, 504);
    cr_assert_eq(response.body.find("another"), std::string::npos);
}

// Bytes that are no answer come without end. Guards against a gateway that keeps them all in memory
// until the deadline, and against passing them on.
Test(gateway, a_response_without_end_is_given_up)
{
    gateway_fixture it;
    it.start_serving();
    it.first.set_mode(upstream_mode::endless_body);
    it.second.set_mode(upstream_mode::endless_body);
    for (auto const* path : {"/unsafe/x", "/stream/x"})
    {
        auto const response = it.ask(path, std::string("r") + path);
        cr_assert_eq(response.head.status, 502, "%s", path);
        cr_assert_eq(response.body.find("xxx"), std::string::npos);
    }
    it.run_until([&] { return it.first.disconnect_count() + it.second.disconnect_count() == 2; });
}

// Guards against streams that miss or repeat an event, or look complete after an interruption.
Test(gateway, a_cut_stream_goes_on_elsewhere_or_stays_incomplete)
{
    gateway_fixture it;
    it.start_serving();
    it.fill_retry_budget();
    it.first.set_mode(upstream_mode::truncated_stream);
    it.second.set_mode(upstream_mode::truncated_stream);
    auto const resumed =
        it.send(it.listen, "POST", "/resume/x", gateway_fixture::client_headers("r-1"));
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
    auto const interrupted =
        it.send(it.listen, "POST", "/stream/x", gateway_fixture::client_headers("r-2"));
    it.run_until([&] { return interrupted->body.find("id: 3") != std::string::npos; });
    it.first.release();
    it.second.release();
    it.run_until([&] { return interrupted->end.has_value(); });
    cr_assert_not(interrupted->is_complete());
    cr_assert_eq(interrupted->body, events(1, 3));
}

// Guards against upstream work that continues after the client has disconnected.
Test(gateway, a_caller_that_leaves_ends_the_work_at_the_upstream)
{
    gateway_fixture it;
    it.start_serving();
    it.first.set_mode(upstream_mode::unresponsive);
    it.second.set_mode(upstream_mode::unresponsive);
    it.send(it.listen, "POST", "/stream/x", gateway_fixture::client_headers("r-1"));
    it.run_until(
        [&]
        {
            return it.first.execution_counts().contains("r-1") ||
                   it.second.execution_counts().contains("r-1");
        });
    it.connections.pop_back();
    it.run_until([&] { return it.first.disconnect_count() + it.second.disconnect_count() == 1; });
}

// Guards against spending beyond the prepaid total, and against ignoring a top-up.
Test(gateway, prepaid_tokens_end_and_are_topped_up)
{
    gateway_fixture it;
    it.start_serving(1'000);
    it.first.set_mode(upstream_mode::stream);
    it.second.set_mode(upstream_mode::stream);
    cr_assert_eq(it.ask("/stream/x", headers_with_tokens("r-1", 500, 40)).head.status, 200);
    cr_assert_eq(it.ask("/stream/x", headers_with_tokens("r-2", 500, 40)).head.status, 402);
    it.configure(2, 2'000);
    it.run_until(
        [&]
        { return it.ask("/stream/x", headers_with_tokens("r-3", 500, 40)).head.status == 200; });
    auto const record = it.store.newest("keyed.prepaid-draws-0", "club/entry-1");
    cr_assert(record.has_value());
    cr_assert_leq((*parse_json(*record))["claimed_tokens"].asInt64(), 2'000);
}

// A client states the largest numbers of tokens, in requests that no upstream takes. Guards against
// an account that spends without limit afterwards, or is refused whatever is left of its total.
Test(gateway, a_request_without_an_output_limit_changes_no_account)
{
    constexpr auto max = "9223372036854775807";
    for (auto const& count : {std::string("100,") + max, std::string(max) + "," + max})
    {
        gateway_fixture it;
        it.start_serving(2'000);
        it.first.set_mode(upstream_mode::not_executed);
        it.second.set_mode(upstream_mode::not_executed);
        auto headers = gateway_fixture::client_headers("r-large");
        headers.emplace_back("X-Almondcart-Token-Count", count);
        cr_assert_eq(it.ask("/stream/x", headers).head.status, 402);
        it.first.set_mode(upstream_mode::stream);
        it.second.set_mode(upstream_mode::stream);
        int served = 0;
        for (int n = 0; n < 20; ++n)
        {
            auto const id = "r-" + std::to_string(n);
            auto const status = it.ask("/stream/x", headers_with_tokens(id, 200, 24)).head.status;
            cr_assert(status == 200 || status == 402);
            served += status == 200 ? 1 : 0;
        }
        cr_assert_eq(served, 8);
    }
}

// Guards against losing tokens, or spending them twice, when the process is killed.
Test(gateway, a_restarted_process_goes_on_with_the_rest_of_the_total)
{
    gateway_fixture it;
    it.start_serving(3'000);
    it.first.set_mode(upstream_mode::stream);
    it.second.set_mode(upstream_mode::stream);
    cr_assert_eq(it.ask("/stream/x", headers_with_tokens("r-1", 900, 24)).head.status, 200);
    it.gateway->send_signal(SIGKILL);
    it.gateway->wait();
    it.start();
    it.wait_until_ready();
    cr_assert_eq(it.ask("/stream/x", headers_with_tokens("r-2", 900, 24)).head.status, 200);
    it.run_until(
        [&]
        { return it.ask("/stream/x", headers_with_tokens("r-3", 900, 24)).head.status != 200; });
    auto const record = it.store.newest("keyed.prepaid-draws-0", "club/entry-1");
    cr_assert_leq((*parse_json(*record))["claimed_tokens"].asInt64(), 3'000);
}

// Guards against accepting a removed API key, and against applying an older configuration.
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

// Guards against sending requests to a draining upstream.
Test(gateway, a_draining_upstream_gets_no_work)
{
    gateway_fixture it;
    it.start_serving();
    it.add(it.first, "draining");
    // The change has been applied once several consecutive requests went to the other upstream.
    int consecutive = 0;
    for (int n = 0; consecutive < 20; ++n)
    {
        auto const before = it.first.request_heads().size();
        cr_assert_eq(it.ask("/safe/x", "r-" + std::to_string(n)).head.status, 200);
        consecutive = it.first.request_heads().size() == before ? consecutive + 1 : 0;
    }
}

// Guards against a shutdown that interrupts a request or does not return the drawn tokens.
Test(gateway, a_stop_lets_requests_end_and_gives_tokens_back)
{
    gateway_fixture it;
    it.start_serving(10'000);
    it.first.set_mode(upstream_mode::stream);
    it.second.set_mode(upstream_mode::stream);
    it.first.set_streams_paused(true);
    it.second.set_streams_paused(true);
    auto const stream =
        it.send(it.listen, "POST", "/stream/x", headers_with_tokens("r-1", 100, 24));
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
    // The process exits once the log has responded; readiness checks then fail to connect.
    it.run_until([&] { return it.readiness_status() == 0; });
    cr_assert_eq(it.gateway->wait(), 0);
}

// A stream outlasts the time for which a stopping gateway takes requests. Guards against tokens
// that are returned only after the stream, or never if it outlasts the grace period.
Test(gateway, a_stop_gives_tokens_back_while_a_stream_is_open)
{
    gateway_fixture it;
    it.route_timeout_ms = 7000;
    it.start_serving();
    for (auto* upstream : {&it.first, &it.second})
    {
        upstream->set_mode(upstream_mode::stream);
        upstream->set_streams_paused(true);
    }
    auto headers = headers_with_tokens("r-1", 100, 24);
    std::erase_if(headers, [](auto const& it) { return it.first == "X-Almondcart-Deadline-Ms"; });
    headers.emplace_back("X-Almondcart-Deadline-Ms", "7000");
    auto const stream = it.send(it.listen, "POST", "/stream/x", headers);
    it.run_until([&] { return stream->body.find("id: 1") != std::string::npos; });
    auto const unspent = [&]
    {
        auto const record = *parse_json(*it.store.newest("keyed.prepaid-draws-0", "club/entry-1"));
        return record["claimed_tokens"].asInt64() - record["spent_tokens"].asInt64();
    };
    for (int n = 0; unspent() < 100; ++n)
        it.ask("/safe/x", headers_with_tokens("s-" + std::to_string(n), 100, 24));
    it.gateway->send_signal(SIGTERM);
    it.run_until([&] { return unspent() == 0; });
    cr_assert_not(stream->end.has_value());
    it.first.release();
    it.second.release();
    it.run_until([&] { return stream->end.has_value(); });
    cr_assert(stream->is_complete());
}

// Signals arrive while the process reads its settings. Guards against a process that they end, and
// against a stop that is forgotten.
Test(gateway, signals_during_the_start_are_handled_after_it)
{
    gateway_fixture it;
    it.wait_for_output("[gateway] started");
    std::ifstream file(it.settings_file);
    std::string const settings{std::istreambuf_iterator<char>(file), {}};
    // The process reads its settings from a pipe, so that the start lasts until they are written.
    it.gateway.reset();
    std::remove(it.settings_file.c_str());
    cr_assert_eq(mkfifo(it.settings_file.c_str(), 0600), 0);
    it.start();
    int pipe = -1;
    it.run_until(
        [&]
        {
            pipe = open(it.settings_file.c_str(), O_WRONLY | O_NONBLOCK);
            return pipe >= 0;
        });
    // The reload reads a plain file again.
    std::remove(it.settings_file.c_str());
    it.write_settings();
    it.gateway->send_signal(SIGHUP);
    it.gateway->send_signal(SIGTERM);
    cr_assert_eq(write(pipe, settings.data(), settings.size()), std::ssize(settings));
    close(pipe);
    std::optional<int> result;
    it.run_until([&] { return (result = it.gateway->try_wait()).has_value(); });
    cr_assert_eq(*result, 0);
    cr_assert_neq(it.output().find("[gateway] settings reloaded"), std::string::npos);
    cr_assert_neq(it.output().find("[gateway] stopped"), std::string::npos);
}

// Guards against a process that exits on a reload signal.
Test(gateway, a_reload_signal_cuts_no_request)
{
    gateway_fixture it;
    it.start_serving(10'000);
    it.first.set_mode(upstream_mode::stream);
    it.second.set_mode(upstream_mode::stream);
    it.first.set_streams_paused(true);
    it.second.set_streams_paused(true);
    auto const stream =
        it.send(it.listen, "POST", "/stream/x", headers_with_tokens("r-1", 100, 24));
    it.run_until([&] { return stream->body.find("id: 1") != std::string::npos; });
    it.gateway->send_signal(SIGHUP);
    it.run_until([&] { return it.output().find("settings reloaded") != std::string::npos; });
    it.first.release();
    it.second.release();
    it.run_until([&] { return stream->end.has_value(); });
    cr_assert(stream->is_complete());
    cr_assert_eq(it.readiness_status(), 200);
}

// Guards against a request that hangs on an unresponsive upstream.
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
