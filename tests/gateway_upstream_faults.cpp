#include <criterion/criterion.h>
#include <fmt/format.h>

#include <functional>
#include <string>
#include <tuple>

#include "support/faulty_server.hpp"
#include "support/scripted_fixture.hpp"

using namespace almondcart;
using namespace almondcart::test_support;
using standins::upstream_mode;
using standins::upstream_standin;

// Another writer leaves odd entries among those of the upstreams, in the snapshot and later. Guards
// against a gateway that ends, or stops following the registry.
Test(gateway_upstream_faults, odd_registry_entries_stop_no_gateway)
{
    gateway_fixture it;
    std::string const odd[] = {
        std::string(100'000, '['),
        R"({"a":)" + std::string(5000, '{'),
        R"({"backend":"models","address":"127.0.0.1:99999","zone":"a","state":"ready"})",
        R"({"backend":"models","address":"127.0.0.1:0","zone":"a","state":"ready"})",
        R"({"backend":"models","address":"127.0.0.1:9","zone":"a","state":"ready","slots":1e400})",
        R"({"backend":"models","address":"127.0.0.1:9","zone":"a","state":"ready",)"
        R"("slots":9999999999})",
        "\xff\xfe\x00"};
    auto const put_all = [&](std::string const& prefix)
    {
        for (auto const& value : odd)
            it.store.put("keyed.servers", prefix + std::to_string(value.size()), value);
    };
    put_all("before-");
    it.start_serving();
    put_all("after-");
    it.add(it.first, "draining");
    auto const is_applied = [&]
    {
        auto const before = it.first.request_heads().size();
        for (int n = 0; n < 10; ++n)
            cr_assert_eq(it.ask("/unsafe/x", "r-" + std::to_string(n)).head.status, 200);
        return it.first.request_heads().size() == before;
    };
    it.run_until(is_applied);
    cr_assert_not(it.gateway->try_wait().has_value());
}

// A stream has begun and broke off, and the next upstream answers with an error, or with a response
// that is not its own. Guards against its text in the middle of the stream, and against a stream
// that ends as if it were complete.
Test(gateway_upstream_faults, a_stream_that_cannot_be_continued_ends_incomplete)
{
    gateway_fixture it;
    it.start_serving();
    it.fill_retry_budget();
    for (auto const next : {upstream_mode::server_error, upstream_mode::unsigned_stream})
    {
        it.first.set_mode(upstream_mode::truncated_stream);
        it.second.set_mode(upstream_mode::truncated_stream);
        auto const id = "r-" + std::to_string(static_cast<int>(next));
        auto const stream =
            it.send(it.listen, "POST", "/resume/x", gateway_fixture::client_headers(id));
        it.run_until([&] { return stream->body.find("id: 3") != std::string::npos; });
        it.first.set_mode(next);
        it.second.set_mode(next);
        it.first.release();
        it.second.release();
        it.run_until([&] { return stream->end.has_value(); });
        cr_assert_not(stream->is_complete());
        cr_assert_eq(stream->body, events(1, 3));
    }
}

// An upstream streams events without its signature and breaks off; the request goes on at another
// one. Guards against a stream without the events that were never passed on.
Test(gateway_upstream_faults, events_of_an_unsigned_response_are_not_skipped_later)
{
    gateway_fixture it;
    it.start_serving();
    it.fill_retry_budget();
    it.first.set_mode(upstream_mode::unsigned_stream);
    it.second.set_mode(upstream_mode::stream);
    for (int n = 0; n < 6; ++n)
    {
        auto const stream = it.ask("/resume/x", "r-" + std::to_string(n));
        if (stream.head.status == 200)
            cr_assert_eq(stream.body, events(1, upstream_standin::event_count));
        else
            cr_assert_eq(stream.head.status, 502);
    }
}

namespace {

std::string refusal(std::string const& id)
{
    auto const id_header = id.empty() ? "" : "X-Almondcart-Request-Id: " + id + "\r\n";
    return "HTTP/1.1 503 Service Unavailable\r\nX-Almondcart-Not-Executed: 1\r\n" + id_header +
           "Content-Length: 0\r\n\r\n";
}

std::string answer(std::string const& id)
{
    return signed_head(id) + "Content-Length: 2\r\n\r\nok";
}

/// Sends requests to an upstream that refuses the first one on each connection. On the others it
/// sends `copy` of that refusal first and then an answer.
void check_late_copies(std::function<std::string(std::string const& earlier_id)> const& copy)
{
    scripted_fixture it(
        [&](std::string const& id, std::string const& earlier_id)
        {
            auto const bytes = earlier_id.empty() ? refusal(id) : copy(earlier_id) + answer(id);
            return scripted_upstream::reply{bytes, false};
        });
    constexpr int request_count = 20;
    constexpr duration pause{150};
    for (int n = 0; n < request_count; ++n)
    {
        auto const id = "r-" + std::to_string(n);
        auto const reused_before = it.upstream.reuse_count();
        auto const response = it.ask("/unsafe/x", id);
        bool const has_run = it.upstream.reuse_count() > reused_before;
        if (has_run)
            cr_assert_neq(response.head.status, 503, "%s", id.c_str());
        if (response.head.status == 200)
            cr_assert_eq(response.header("X-Almondcart-Request-Id"), id);
        if (it.upstream.request_counts().contains(id))
            cr_assert_eq(it.upstream.request_counts().at(id), 1);
        // An upstream that was at capacity is left out for a short time.
        auto const end = it.loop.now() + pause;
        it.run_until([&] { return it.loop.now() >= end; });
    }
    cr_assert_gt(it.upstream.reuse_count(), 0);
}

} // namespace

// A faulty upstream sends an earlier refusal once more on a kept connection and runs the next
// request. Guards against a client that is told that its request did not run.
Test(gateway_upstream_faults, a_late_copy_of_a_refusal_answers_no_other_request)
{
    check_late_copies([](std::string const& earlier_id) { return refusal(earlier_id); });
}

// The same, with a refusal that names no request.
Test(gateway_upstream_faults, a_refusal_without_an_id_on_a_kept_connection_promises_nothing)
{
    check_late_copies([](std::string const&) { return refusal(""); });
}

// Responses without a length or chunks end with their connection. Guards against a stream that
// ended inside an event and is delivered as complete, and against whole ones that are not.
Test(
    gateway_upstream_faults,
    a_response_that_ends_with_its_connection_is_complete_after_a_whole_event)
{
    std::string content;
    scripted_fixture it(
        [&](std::string const& id, std::string const&)
        {
            auto const head = signed_head(id) + "\r\n";
            return scripted_upstream::reply{head + content, true};
        });
    content = events(1, 6);
    auto const whole = it.ask("/stream/x", "r-1");
    cr_assert(whole.is_complete());
    cr_assert_eq(whole.body, content);
    content = events(1, 3) + "id: 4\ndata: wo";
    auto const broken_off = it.ask("/stream/x", "r-2");
    cr_assert_not(broken_off.is_complete());
    cr_assert_eq(broken_off.body, events(1, 3));
    content = "a plain answer";
    auto const plain = it.ask("/unsafe/x", "r-3");
    cr_assert(plain.is_complete());
    cr_assert_eq(plain.body, content);
}

// An upstream sends whole responses without its signature, or larger than the limit, of which all
// bytes arrive at once. Guards against a gateway that ends with all its other requests.
Test(gateway_upstream_faults, a_response_that_is_given_up_at_its_last_bytes_ends_no_gateway)
{
    auto const chunk = [](std::string const& text)
    { return fmt::format("{:x}\r\n{}\r\n", text.size(), text); };
    std::string const large(std::size_t{1100} * 1024, 'x');
    std::string const sealed = "X-Almondcart-Response-Seal: seal\r\n";
    for (auto const& [path, headers, body] :
         {std::tuple("/stream/x", std::string(), events(1, 2)),
          std::tuple("/unsafe/x", sealed, large),
          std::tuple("/stream/x", sealed, large)})
    {
        scripted_fixture it(
            [&](std::string const& id, std::string const&)
            {
                return scripted_upstream::reply{
                    "HTTP/1.1 200 OK\r\nX-Almondcart-Request-Id: " + id + "\r\n" + headers +
                        "Transfer-Encoding: chunked\r\n\r\n" + chunk(body) + chunk(""),
                    false};
            });
        for (int n = 0; n < 3; ++n)
        {
            auto const response = it.ask(path, "r-" + std::to_string(n));
            cr_assert(response.head.status == 502 || response.head.status == 503);
        }
        cr_assert_not(it.gateway->try_wait().has_value());
    }
}

// An upstream stops inside the head of its response and closes. Guards against a client that gets a
// success with an empty or short body, and against a second run of a request that may run once.
Test(gateway_upstream_faults, a_head_that_breaks_off_is_no_success)
{
    std::size_t length = 0;
    scripted_fixture it(
        [&](std::string const& id, std::string const&)
        {
            auto const reply = answer(id);
            return scripted_upstream::reply{reply.substr(0, length), true};
        });
    auto const end_of_head = answer("r-1000").size() - 2;
    for (length = 10; length < end_of_head; length += 9)
    {
        auto const id = "r-" + std::to_string(1000 + length);
        auto const response = it.ask("/unsafe/x", id);
        cr_assert(response.head.status == 502 || response.head.status == 503, "%zu", length);
        cr_assert_leq(
            it.upstream.request_counts().count(id) == 0 ? 0 : it.upstream.request_counts().at(id),
            1);
    }
}

namespace {

/// Sends a request of each kind to an upstream that replies with `reply_to(id)`, and checks that no
/// client gets that as an answer.
void check_no_answer(std::function<std::string(std::string const& id)> const& reply_to)
{
    scripted_fixture it(
        [&](std::string const& id, std::string const&) {
            return scripted_upstream::reply{reply_to(id), false};
        });
    for (std::string const kind : {"safe", "unsafe", "stream", "resume"})
    {
        auto const response = it.ask("/" + kind + "/x", "r-" + kind);
        bool const is_refusal = response.head.status == 502 || response.head.status == 503;
        cr_assert(is_refusal, "%s: %d", kind.c_str(), response.head.status);
        cr_assert_eq(response.header("X-Almondcart-Response-Seal"), "");
        cr_assert_eq(response.header("X-Odd"), "");
    }
    cr_assert_not(it.gateway->try_wait().has_value());
}

} // namespace

// An upstream replies with a status that no response can have. Guards against a client that gets it
// as an answer, or what follows it, or nothing until its deadline.
Test(gateway_upstream_faults, a_status_that_no_response_can_have_is_no_answer)
{
    for (std::string const status : {"000", "099", "101", "600", "999"})
    {
        auto const head_of = [&](std::string const& id)
        {
            return "HTTP/1.1 " + status + " Odd\r\nX-Odd: 1\r\nX-Almondcart-Request-Id: " + id +
                   "\r\nX-Almondcart-Response-Seal: seal\r\n";
        };
        check_no_answer([&](std::string const& id)
                        { return head_of(id) + "Content-Length: 0\r\n\r\n"; });
        check_no_answer(
            [&](std::string const& id)
            {
                return head_of(id) + fmt::format("Content-Length: {}\r\n\r\n", answer(id).size()) +
                       answer(id);
            });
    }
}

// An upstream sends a head in which the name of a field holds a blank or a control byte. Guards
// against a client that gets that line, or a body that was framed without it.
Test(gateway_upstream_faults, a_field_name_with_a_blank_or_control_byte_is_no_answer)
{
    using namespace std::string_literals;
    for (auto const& line :
         {"X-Odd : 1"s,
          "X Odd: 1"s,
          " X-Odd: 1"s,
          "X-Odd\x01: 1"s,
          "X-Odd\0: 1"s,
          "Content-Length : 1"s,
          "Transfer-Encoding\t: chunked"s})
    {
        check_no_answer([&](std::string const& id)
                        { return signed_head(id) + line + "\r\nContent-Length: 2\r\n\r\nok"; });
    }
}

// An upstream answers a long upload at once without a length, sends a part of the body and resets
// the connection while the upload is still being written. Guards against a client that gets that
// part as a complete answer.
Test(gateway_upstream_faults, a_reset_during_an_upload_is_no_complete_answer)
{
    gateway_fixture it;
    std::string content;
    faulty_server upstream(
        it.loop,
        [&](std::string const& beginning)
        {
            auto const id = scripted_upstream::request_id(beginning);
            return faulty_server::reply{signed_head(id) + "\r\n" + content, {}};
        });
    it.configure(1, 1'000'000);
    it.store.put(
        "keyed.servers", "i-1", it.first.registry_entry("models", "ready", upstream.address()));
    it.wait_until_ready();
    std::string const body(3'500'000, 'x');
    for (std::string const kind : {"safe", "unsafe", "stream", "resume"})
    {
        bool const is_stream = kind == "stream" || kind == "resume";
        content = is_stream ? events(1, 3) : "part of the answer";
        auto const response = it.send(
            it.listen,
            "POST",
            "/" + kind + "/x",
            gateway_fixture::client_headers("r-" + kind),
            body);
        it.run_until([&] { return response->end.has_value(); });
        bool const is_whole = response->is_complete() && response->head.status == 200;
        cr_assert_not(is_whole, "%s", kind.c_str());
        if (!is_stream)
            cr_assert_neq(response->head.status, 200, "%s", kind.c_str());
    }
}
