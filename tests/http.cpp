#include <almondcart/core/status.hpp>
#include <almondcart/http/http_client.hpp>
#include <almondcart/http/http_server.hpp>
#include <almondcart/http/json_rpc_client.hpp>
#include <almondcart/http/json_rpc_server.hpp>
#include <almondcart/http/metrics.hpp>
#include <almondcart/http/socket_address.hpp>

#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/endless_responses.hpp"
#include "support/faulty_server.hpp"
#include "support/malformed_fields.hpp"

using namespace almondcart;
using namespace almondcart::test_support;

namespace {

using exchange_pointer = std::shared_ptr<http_exchange>;

/// Response as received by the client.
struct received_response
{
    int status = 0;
    http_headers headers;
    std::string body;
    std::optional<absl::Status> result;

    bool is_done() const { return result.has_value(); }
};

http_callbacks collect(received_response& into)
{
    http_callbacks callbacks;
    callbacks.on_headers = [&into](http_response_head const& head)
    {
        into.status = head.status;
        into.headers = head.headers;
    };
    callbacks.on_body = [&into](std::string_view data) { into.body += data; };
    callbacks.on_done = [&into](absl::Status status)
    {
        cr_assert(!into.is_done(), "on_done was called twice");
        into.result = std::move(status);
    };
    return callbacks;
}

/// Server and client of one test.
struct fixture
{
    explicit fixture(std::size_t body_limit = 8 * 1024 * 1024)
        : server(http_server::create(loop, {"127.0.0.1:0", body_limit}).value())
    {}

    http_request request(std::string path, std::string body = {}) const
    {
        http_request request;
        request.address = server->address();
        request.method = body.empty() ? "GET" : "POST";
        request.path = std::move(path);
        request.body = std::move(body);
        return request;
    }

    received_response fetch(http_request const& request)
    {
        received_response response;
        client.request(request, collect(response));
        loop.run_until([&] { return response.is_done(); });
        return response;
    }

    /// Returns a connected socket on which `text` has been sent. The test reads and closes it.
    int connect_raw(std::string const& text) const
    {
        auto const address = socket_address::parse(server->address()).value();
        int const fd = socket(address.family(), SOCK_STREAM, 0);
        cr_assert_eq(connect(fd, address.native(), address.size()), 0);
        cr_assert_eq(write(fd, text.data(), text.size()), static_cast<ssize_t>(text.size()));
        return fd;
    }

    event_loop loop;
    std::unique_ptr<http_server> server;
    http_client client{loop};
};

} // namespace

// Guards against timers that run out of order, a cancelled timer that still runs, and a periodic
// timer that continues after its callback has cancelled it.
Test(event_loop, timers_run_in_order_and_cancel)
{
    event_loop loop;
    std::string order;
    loop.after(duration(2), [&] { order += 'c'; });
    loop.after(duration(0), [&] { order += 'a'; });
    loop.post([&] { order += 'b'; });
    auto cancelled = loop.after(duration(1), [&] { order += 'x'; });
    cancelled.cancel();
    timer periodic = loop.every(
        duration(3),
        [&]
        {
            order += 'p';
            if (order.ends_with("pp"))
                periodic.cancel();
        });
    loop.run_until([&] { return order.ends_with("pp"); });
    loop.after(duration(10), [&] { loop.stop(); });
    loop.run();
    cr_assert_eq(order, "abcpp");
}

// Guards against SIGTERM or SIGINT killing the process instead of starting a graceful shutdown.
Test(event_loop, stop_signal_is_a_callback)
{
    event_loop loop;
    int signal_count = 0;
    loop.on_stop_signal([&] { ++signal_count; });
    kill(getpid(), SIGTERM);
    loop.run_until([&] { return signal_count == 1; });
    kill(getpid(), SIGINT);
    loop.run_until([&] { return signal_count == 2; });
}

// Guards against requests that reach the wrong handler or lose their path, query, headers or body.
Test(http, routes_and_passes_whole_request)
{
    fixture test;
    test.server->route(
        "*", "/", [](exchange_pointer const& e) { e->respond_text(200, "text/plain", "root"); });
    test.server->route(
        "POST",
        "/v1/read",
        [](exchange_pointer const& e)
        {
            e->respond(
                201,
                {{"X-Kind", "read"}},
                e->method() + e->path() + "|" + e->query_value("a b").value_or("-") + "|" +
                    std::string(e->header("x-in")) + "|" + e->body());
        });
    auto request = test.request("/v1/read/x?q=1&a%20b=c%2Fd", "payload");
    request.headers = {{"X-In", "value"}};
    auto const response = test.fetch(request);
    cr_assert(response.result->ok());
    cr_assert_eq(response.status, 201);
    cr_assert_eq(find_header(response.headers, "x-kind").value(), "read");
    cr_assert_eq(response.body, "POST/v1/read/x|c/d|value|payload");
    cr_assert_eq(test.fetch(test.request("/v1/reading")).body, "root");
}

// Guards against unknown paths or methods hanging without a response.
Test(http, unknown_path_and_method_are_answered)
{
    fixture test;
    test.server->route("GET", "/a", [](exchange_pointer const& e) { e->respond(200, {}, ""); });
    cr_assert_eq(test.fetch(test.request("/b")).status, 404);
    cr_assert_eq(test.fetch(test.request("/a", "body")).status, 405);
    cr_assert_eq(test.fetch(test.request("/a")).status, 200);
}

// Guards against a client that waits forever after the handler has released its exchange.
Test(http, released_exchange_is_answered)
{
    fixture test;
    test.server->route("GET", "/", [](exchange_pointer const&) {});
    cr_assert_eq(test.fetch(test.request("/")).status, 500);
}

// Guards against streamed parts being held back until the end of the response.
Test(http, stream_parts_arrive_one_by_one)
{
    fixture test;
    exchange_pointer stream;
    test.server->route(
        "GET",
        "/",
        [&](exchange_pointer e)
        {
            stream = std::move(e);
            stream->start(200, {{"content-type", "text/event-stream"}});
        });
    received_response response;
    test.client.request(test.request("/"), collect(response));
    test.loop.run_until([&] { return stream != nullptr; });
    for (std::string const part : {"data: 1\n\n", "data: 2\n\n", "data: 3\n\n"})
    {
        auto const expected = response.body + part;
        stream->send(part);
        test.loop.run_until([&] { return response.body == expected; });
    }
    cr_assert(!response.is_done());
    stream->finish();
    stream->send("after the end");
    test.loop.run_until([&] { return response.is_done(); });
    cr_assert(response.result->ok());
    cr_assert_eq(response.body, "data: 1\n\ndata: 2\n\ndata: 3\n\n");
}

// Guards against an aborted response that looks complete to the client.
Test(http, aborted_stream_is_an_error)
{
    fixture test;
    test.server->route(
        "GET",
        "/",
        [&](exchange_pointer const& e)
        {
            e->start(200, {});
            e->send("part");
            test.loop.after(duration(5), [e] { e->abort(); });
        });
    auto const response = test.fetch(test.request("/"));
    cr_assert_eq(response.status, 200);
    cr_assert_eq(code_of(*response.result), result_code::upstream_lost);
    cr_assert(!is_request_unsent(*response.result));
}

namespace {

/// Answers one connection with `text` and ends it, in order or by a reset.
absl::Status fetch_raw(std::string const& text, bool is_reset)
{
    event_loop loop;
    http_client client(loop);
    auto any = *socket_address::parse("127.0.0.1:0");
    int const listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    bind(listener, any.native(), any.size());
    listen(listener, 1);
    auto* const watch = loop.watch(
        listener,
        [&]
        {
            int const fd = accept4(listener, nullptr, nullptr, 0);
            std::string buf(4096, '\0');
            recv(fd, buf.data(), buf.size(), 0);
            send(fd, text.data(), text.size(), MSG_NOSIGNAL);
            loop.after(
                duration(30),
                [fd, is_reset]
                {
                    linger const none{is_reset ? 1 : 0, 0};
                    setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
                    close(fd);
                });
        });
    http_request request;
    request.address = socket_address::of_socket(listener).to_text();
    std::optional<absl::Status> result;
    http_callbacks callbacks;
    callbacks.on_done = [&](absl::Status status) { result = std::move(status); };
    client.request(std::move(request), std::move(callbacks));
    loop.run_until([&] { return result.has_value(); });
    loop.unwatch(watch);
    return *result;
}

} // namespace

// A server stops inside the head, or resets the connection inside a body without a length. Guards
// against responses that broke off and count as complete.
Test(http, a_response_that_breaks_off_is_an_error)
{
    std::string const head = "HTTP/1.1 200 OK\r\nServer: a\r\n\r\n";
    for (bool const is_reset : {false, true})
    {
        for (std::size_t n = 0; n < head.size(); n += 3)
            cr_assert_not(fetch_raw(head.substr(0, n), is_reset).ok(), "%zu bytes", n);
        cr_assert_eq(fetch_raw(head + "part", is_reset).ok(), !is_reset);
        cr_assert_not(fetch_raw("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", is_reset).ok());
    }
}

// A server sends a status that no final response can have. Guards against passing it on as one.
Test(http, a_status_that_no_response_can_have_is_an_error)
{
    for (std::string const status : {"000", "001", "099", "101", "600", "999"})
    {
        auto const head = "HTTP/1.1 " + status + " Odd\r\n";
        for (std::string const rest :
             {"Content-Length: 0\r\n\r\n", "Content-Length: 2\r\n\r\nok", "\r\n"})
        {
            auto const result = fetch_raw(head + rest, false);
            cr_assert_eq(code_of(result), result_code::upstream_lost, "%s", status.c_str());
            cr_assert_not(is_request_unsent(result));
        }
    }
}

// Guards against a head with a field name that no field can have: it would be passed on, or frame
// the body in another way than the server did.
Test(http, a_field_name_with_a_blank_or_control_byte_is_an_error)
{
    for (auto const& line : malformed_field_lines())
    {
        auto const result =
            fetch_raw("HTTP/1.1 200 OK\r\n" + line + "\r\nContent-Length: 4\r\n\r\nokok", false);
        cr_assert_eq(code_of(result), result_code::upstream_lost, "%s", line.c_str());
    }
}

// Guards against a body that ends where the server did not end it, because its head states two
// ends.
Test(http, a_head_that_frames_its_body_in_two_ways_is_an_error)
{
    for (std::string const lines :
         {"Content-Length: 2\r\nContent-Length: 4\r\n",
          "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n"})
    {
        auto const result =
            fetch_raw("HTTP/1.1 200 OK\r\n" + lines + "\r\n2\r\nok\r\n0\r\n\r\n", false);
        cr_assert_eq(code_of(result), result_code::upstream_lost, "%s", lines.c_str());
    }
    cr_assert(
        fetch_raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", false)
            .ok());
}

// A server sends a malformed but whole response on a connection that is kept. Guards against the
// next request on that connection.
Test(http, a_connection_that_carried_a_malformed_response_is_not_reused)
{
    event_loop loop;
    http_client client(loop);
    int connection_count = 0;
    auto any = *socket_address::parse("127.0.0.1:0");
    int const listener = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
    bind(listener, any.native(), any.size());
    listen(listener, SOMAXCONN);
    std::vector<st_h2o_socket_t*> watches{loop.watch(
        listener,
        [&]
        {
            int const fd = accept4(listener, nullptr, nullptr, SOCK_NONBLOCK);
            ++connection_count;
            watches.push_back(loop.watch(
                fd,
                [fd]
                {
                    std::string buf(4096, '\0');
                    std::string const text = "HTTP/1.1 000 Odd\r\nContent-Length: 0\r\n\r\n";
                    if (recv(fd, buf.data(), buf.size(), 0) > 0)
                        send(fd, text.data(), text.size(), MSG_NOSIGNAL);
                }));
        })};
    for (int n = 1; n <= 3; ++n)
    {
        http_request request;
        request.address = socket_address::of_socket(listener).to_text();
        received_response response;
        client.request(request, collect(response));
        loop.run_until([&] { return response.is_done(); });
        cr_assert_not(response.result->ok());
        cr_assert_eq(connection_count, n);
    }
    for (auto* const it : watches)
        loop.unwatch(it);
}

// The server answers a long upload at once without a length, and resets the connection while the
// upload is still being written. Guards against a part of a response that counts as the whole.
Test(http, a_reset_during_an_upload_is_an_error)
{
    event_loop loop;
    http_client client(loop);
    faulty_server server(
        loop,
        [](std::string const&) {
            return faulty_server::reply{"HTTP/1.1 200 OK\r\n\r\npart of the answer", {}};
        });
    http_request request;
    request.address = server.address();
    request.method = "POST";
    request.body = std::string(std::size_t{20} * 1024 * 1024, 'x');
    received_response response;
    client.request(std::move(request), collect(response));
    loop.run_until([&] { return response.is_done(); });
    cr_assert_eq(code_of(*response.result), result_code::upstream_lost);
    cr_assert_not(is_request_unsent(*response.result));
}

// A server sends bytes without end, in a head or in a body, until the client closes. Guards against
// a client that reads them as long as they come.
Test(http, a_response_without_end_is_an_error)
{
    constexpr duration time_limit{5'000};
    std::vector<endless_response> responses;
    for (auto const& list : {endless_responses_without_content(), endless_bodies()})
    {
        for (auto const& it : list)
            responses.push_back({it.name, "HTTP/1.1 200 OK\r\n" + it.begin, it.repeated});
    }
    responses.push_back({"reason phrase", "HTTP/1.1 200 ", repeat("xxxxxxxx")});
    for (std::string const status : {"100 Continue", "102 Processing"})
        responses.push_back({status, "", repeat("HTTP/1.1 " + status + "\r\n\r\n")});
    for (auto const& it : responses)
    {
        event_loop loop;
        http_client client(loop);
        faulty_server server(
            loop,
            [&](std::string const&) {
                return faulty_server::reply{it.begin, it.repeated};
            });
        http_request request;
        request.address = server.address();
        // As for work that must not be repeated, whose outcome a timeout would lose.
        request.first_byte_timeout = duration(0);
        request.idle_timeout = duration(0);
        request.body_limit_bytes = std::size_t{1024} * 1024;
        received_response response;
        client.request(std::move(request), collect(response));
        auto const end = loop.now() + time_limit;
        loop.run_until([&] { return response.is_done() || loop.now() >= end; });
        cr_assert(response.is_done(), "%s", it.name.c_str());
        cr_assert_eq(code_of(*response.result), result_code::upstream_lost, "%s", it.name.c_str());
    }
}

// Guards against clients receiving each other's responses when these complete out of order.
Test(http, responses_out_of_order_reach_their_clients)
{
    constexpr std::size_t count = 20;
    fixture test;
    std::vector<exchange_pointer> waiting;
    test.server->route("POST", "/", [&](exchange_pointer e) { waiting.push_back(std::move(e)); });
    // Two rounds, so that the second one runs over reused connections.
    for (int round = 0; round < 2; ++round)
    {
        std::vector<received_response> responses(count);
        for (std::size_t i = 0; i < count; ++i)
            test.client.request(
                test.request("/", "body " + std::to_string(i)), collect(responses[i]));
        test.loop.run_until([&] { return waiting.size() == count; });
        for (std::size_t i = 0; i < count; ++i)
        {
            auto const& e = waiting[(i * 7 + 3) % count];
            e->respond_text(200, "text/plain", "answer to " + e->body());
        }
        waiting.clear();
        test.loop.run_until(
            [&] { return std::ranges::all_of(responses, &received_response::is_done); });
        for (std::size_t i = 0; i < count; ++i)
            cr_assert_eq(responses[i].body, "answer to body " + std::to_string(i));
    }
    cr_assert_leq(test.server->connection_count(), count, "connections were not reused");
}

// Guards against work that continues after its client has disconnected, before or after the start
// of the response.
Test(http, disconnect_is_reported)
{
    for (bool const is_started : {false, true})
    {
        fixture test;
        exchange_pointer exchange;
        int disconnect_count = 0;
        test.server->route(
            "GET",
            "/",
            [&](exchange_pointer e)
            {
                exchange = std::move(e);
                exchange->on_disconnect([&] { ++disconnect_count; });
                if (is_started)
                    exchange->start(200, {});
            });
        received_response response;
        auto call = test.client.request(test.request("/"), collect(response));
        test.loop.run_until([&] { return exchange != nullptr; });
        call.cancel();
        test.loop.run_until([&] { return disconnect_count == 1; });
        cr_assert(!exchange->is_open());
        exchange->respond(200, {}, "late");
        exchange->send("late");
        exchange->finish();
        test.loop.run_until([&] { return test.server->connection_count() == 0; });
        cr_assert_eq(test.server->exchange_count(), 0);
        cr_assert(!response.is_done());
        cr_assert_eq(disconnect_count, 1);
    }
}

// Guards against unbounded memory use for a slow client: the handler sees the pending bytes and is
// notified when they have been sent.
Test(http, slow_client_shows_as_pending_bytes)
{
    constexpr std::size_t chunk_size = 1024 * 1024;
    constexpr std::size_t backlog_limit = 4 * chunk_size;
    fixture test;
    exchange_pointer stream;
    int drained_count = 0;
    test.server->route(
        "GET",
        "/",
        [&](exchange_pointer e)
        {
            stream = std::move(e);
            stream->on_drained([&] { ++drained_count; });
            stream->start(200, {});
        });
    int const fd = test.connect_raw("GET / HTTP/1.1\r\nhost: a\r\n\r\n");
    test.loop.run_until([&] { return stream != nullptr; });
    std::size_t sent = 0;
    while (stream->pending_bytes() < backlog_limit)
    {
        stream->send(std::string(chunk_size, 'x'));
        sent += chunk_size;
        int rounds = 0;
        test.loop.post([&] { ++rounds; });
        test.loop.run_until([&] { return rounds == 1; });
    }
    drained_count = 0;
    std::size_t read_size = 0;
    std::string buf(chunk_size, '\0');
    while (drained_count == 0)
    {
        auto const size = recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
        read_size += size > 0 ? static_cast<std::size_t>(size) : 0;
        int rounds = 0;
        test.loop.post([&] { ++rounds; });
        test.loop.run_until([&] { return rounds == 1; });
    }
    cr_assert_eq(stream->pending_bytes(), 0);
    cr_assert_geq(sent, backlog_limit);
    close(fd);
    test.loop.run_until([&] { return test.server->exchange_count() == 0; });
    cr_assert_eq(stream->pending_bytes(), 0);
}

// Guards against bodies truncated at buffer boundaries, and against a body above the limit being
// accepted.
Test(http, big_bodies_pass_up_to_the_limit)
{
    constexpr std::size_t limit = 3 * 1024 * 1024;
    fixture test(limit);
    test.server->route(
        "POST",
        "/",
        [](exchange_pointer const& e)
        { e->respond_text(200, "text/plain", e->body() + e->body()); });
    std::string body(limit, 'a');
    for (std::size_t i = 0; i < body.size(); ++i)
        body[i] = static_cast<char>('a' + i % 23);
    auto const response = test.fetch(test.request("/", body));
    cr_assert(response.result->ok());
    cr_assert(response.body == body + body);
    cr_assert_eq(test.fetch(test.request("/", body + "x")).status, 413);
}

// Guards against reporting "not run" for a request that may have run: only a connection that was
// never established proves it.
Test(http, refused_connection_is_told_from_lost_one)
{
    fixture test;
    test.server->route("GET", "/", [](exchange_pointer const& e) { e->abort(); });
    auto const lost = test.fetch(test.request("/"));
    cr_assert_eq(code_of(*lost.result), result_code::upstream_lost);
    cr_assert(!is_request_unsent(*lost.result));
    test.server->close_listener();
    auto const refused = test.fetch(test.request("/"));
    cr_assert_eq(code_of(*refused.result), result_code::no_upstream);
    cr_assert(is_request_unsent(*refused.result));
    cr_assert(test.server->open_listener().ok());
    test.server->route("GET", "/again", [](exchange_pointer const& e) { e->respond(204, {}, ""); });
    cr_assert_eq(test.fetch(test.request("/again")).status, 204);
}

// Guards against a request being sent a second time when a reused connection fails.
Test(http, failed_reused_connection_is_not_retried)
{
    fixture test;
    int count = 0;
    test.server->route(
        "POST",
        "/",
        [&](exchange_pointer const& e)
        {
            if (++count == 1)
                e->respond(200, {}, "first");
            else
                e->abort();
        });
    cr_assert_eq(test.fetch(test.request("/", "1")).body, "first");
    auto const second = test.fetch(test.request("/", "2"));
    cr_assert_eq(code_of(*second.result), result_code::upstream_lost);
    cr_assert(!is_request_unsent(*second.result));
    cr_assert_eq(count, 2);
}

// Guards against an idle connection that the server has closed being used for a request.
Test(http, idle_connection_closed_by_server_is_not_reused)
{
    fixture test;
    test.server->route("GET", "/", [](exchange_pointer const& e) { e->respond(200, {}, "ok"); });
    cr_assert_eq(test.fetch(test.request("/")).body, "ok");
    test.server->drop_connections();
    test.loop.run_until([&] { return test.server->connection_count() == 0; });
    cr_assert_eq(test.fetch(test.request("/")).body, "ok");
}

// Guards against first-byte and idle timeouts that never expire, and against a request that timed
// out after it was sent being reported as unsent.
Test(http, first_byte_and_idle_timeouts_end_the_request)
{
    fixture test;
    std::vector<exchange_pointer> open;
    test.server->route("GET", "/silent", [&](exchange_pointer e) { open.push_back(std::move(e)); });
    test.server->route(
        "GET",
        "/stalled",
        [&](exchange_pointer e)
        {
            e->start(200, {});
            e->send("part");
            open.push_back(std::move(e));
        });
    auto silent = test.request("/silent");
    silent.first_byte_timeout = duration(5);
    auto const first = test.fetch(silent);
    cr_assert_eq(code_of(*first.result), result_code::upstream_lost);
    auto stalled = test.request("/stalled");
    stalled.idle_timeout = duration(5);
    auto const second = test.fetch(stalled);
    cr_assert_eq(second.status, 200);
    cr_assert_eq(code_of(*second.result), result_code::upstream_lost);
    test.loop.run_until([&] { return test.server->exchange_count() == 0; });
    cr_assert(open[0]->is_disconnected());
    cr_assert(open[1]->is_disconnected());
}

// Guards against callbacks that run after their request was cancelled, also from within a callback.
Test(http, cancel_within_callbacks)
{
    fixture test;
    test.server->route(
        "GET",
        "/",
        [](exchange_pointer const& e)
        {
            e->start(200, {});
            e->send("part");
        });
    for (bool const in_headers : {true, false})
    {
        http_call call;
        bool is_cancelled = false;
        auto const cancel = [&]
        {
            cr_assert(!is_cancelled, "called after cancel");
            is_cancelled = true;
            call.cancel();
        };
        http_callbacks callbacks;
        callbacks.on_headers = [&](http_response_head const&)
        {
            if (in_headers)
                cancel();
        };
        callbacks.on_body = [&](std::string_view) { cancel(); };
        callbacks.on_done = [](absl::Status const&) { cr_assert_fail("called after cancel"); };
        call = test.client.request(test.request("/"), callbacks);
        test.loop.run_until([&] { return is_cancelled && test.server->connection_count() == 0; });
        cr_assert(!call.is_active());
    }
}

// Guards against a graceful stop that interrupts a stream in progress or accepts new requests.
Test(http, graceful_stop_waits_for_open_stream)
{
    fixture test;
    exchange_pointer stream;
    test.server->route(
        "GET",
        "/",
        [&](exchange_pointer e)
        {
            stream = std::move(e);
            stream->start(200, {});
            stream->send("first ");
        });
    received_response response;
    test.client.request(test.request("/"), collect(response));
    test.loop.run_until([&] { return response.body == "first "; });
    bool is_stopped = false;
    test.server->stop([&] { is_stopped = true; });
    auto const refused = test.fetch(test.request("/"));
    cr_assert(is_request_unsent(*refused.result));
    cr_assert(!is_stopped);
    stream->send("rest");
    stream->finish();
    stream = nullptr;
    test.loop.run_until([&] { return is_stopped && response.is_done(); });
    cr_assert(response.result->ok());
    cr_assert_eq(response.body, "first rest");
    test.loop.run_until([&] { return test.server->connection_count() == 0; });
}

// Guards against a server that leaves connections or callbacks behind when it is destroyed.
Test(http, destroyed_server_closes_connections)
{
    fixture test;
    std::vector<exchange_pointer> open;
    test.server->route("GET", "/", [&](exchange_pointer e) { open.push_back(std::move(e)); });
    received_response response;
    test.client.request(test.request("/"), collect(response));
    test.loop.run_until([&] { return open.size() == 1; });
    test.server = nullptr;
    test.loop.run_until([&] { return response.is_done(); });
    cr_assert(!response.result->ok());
    open[0]->respond(200, {}, "late");
}

namespace {

/// JSON-RPC server and client of one test, each with its own event journal.
struct rpc_fixture : fixture
{
    absl::StatusOr<Json::Value> call(std::string const& method, Json::Value const& params)
    {
        std::optional<absl::StatusOr<Json::Value>> result;
        rpc_client.call(
            server->address(),
            method,
            params,
            duration(60'000),
            [&](absl::StatusOr<Json::Value> it) { result = std::move(it); });
        loop.run_until([&] { return result.has_value(); });
        return *result;
    }

    event_journal server_journal{{"server", "1"}, [] { return 0; }};
    event_journal client_journal{{"client", "1"}, [] { return 0; }};
    json_rpc_server rpc_server{*server, server_journal};
    json_rpc_client rpc_client{loop, client, client_journal};
};

Json::Value object(std::string const& name, Json::Value const& value)
{
    Json::Value it;
    it[name] = value;
    return it;
}

} // namespace

// Guards against result codes lost between processes, which would turn "not run" into "unknown".
Test(json_rpc, results_and_statuses_round_trip)
{
    rpc_fixture test;
    test.rpc_server.bind_immediate(
        "echo", [](Json::Value const& params) { return object("got", params); });
    test.rpc_server.bind_immediate(
        "refuse",
        [](Json::Value const&) -> absl::StatusOr<Json::Value>
        { return make_status(result_code::request_fenced, "fenced by attempt 2"); });
    test.rpc_server.bind("forget", [](Json::Value const&, auto const&) {});
    auto const params = object("tokens", 12);
    cr_assert(test.call("echo", params).value() == object("got", params));
    auto const refused = test.call("refuse", params).status();
    cr_assert_eq(code_of(refused), result_code::request_fenced);
    cr_assert_eq(refused.message(), "fenced by attempt 2");
    cr_assert(refused == make_status(result_code::request_fenced, "fenced by attempt 2"));
    cr_assert_eq(code_of(test.call("forget", params).status()), result_code::internal_error);
    cr_assert_eq(code_of(test.call("unknown", params).status()), result_code::upstream_failed);
    test.server->close_listener();
    test.server->drop_connections();
    test.loop.run_until([&] { return test.server->connection_count() == 0; });
    cr_assert(is_request_unsent(test.call("echo", params).status()));
}

// Guards against delayed replies that reach the wrong call.
Test(json_rpc, delayed_replies_complete_out_of_order)
{
    constexpr int count = 10;
    rpc_fixture test;
    std::vector<std::pair<Json::Value, json_rpc_server::reply_function>> waiting;
    test.rpc_server.bind(
        "wait",
        [&](Json::Value const& params, json_rpc_server::reply_function reply)
        { waiting.emplace_back(params, std::move(reply)); });
    std::vector<Json::Value> results(count);
    int done_count = 0;
    for (int i = 0; i < count; ++i)
        test.rpc_client.call(
            test.server->address(),
            "wait",
            object("n", i),
            duration(60'000),
            [&, i](absl::StatusOr<Json::Value> const& result)
            {
                results[static_cast<std::size_t>(i)] = result.value();
                ++done_count;
            });
    test.loop.run_until([&] { return waiting.size() == count; });
    for (auto it = waiting.rbegin(); it != waiting.rend(); ++it)
    {
        it->second(it->first);
        it->second(Json::Value("second reply"));
    }
    test.loop.run_until([&] { return done_count == count; });
    for (int i = 0; i < count; ++i)
        cr_assert(results[static_cast<std::size_t>(i)] == object("n", i));
}

// Guards against a call that never ends because its peer does not reply.
Test(json_rpc, call_times_out)
{
    rpc_fixture test;
    std::vector<json_rpc_server::reply_function> waiting;
    test.rpc_server.bind(
        "wait",
        [&](Json::Value const&, json_rpc_server::reply_function reply)
        { waiting.push_back(std::move(reply)); });
    std::optional<absl::Status> status;
    test.rpc_client.call(
        test.server->address(),
        "wait",
        Json::Value(Json::objectValue),
        duration(5),
        [&](absl::StatusOr<Json::Value> const& result) { status = result.status(); });
    test.loop.run_until([&] { return status.has_value(); });
    cr_assert_eq(code_of(*status), result_code::upstream_lost);
    cr_assert(!is_request_unsent(*status));
}

// Guards against logical times that order an effect before its cause in the timelines of two
// processes.
Test(json_rpc, logical_time_travels_both_ways)
{
    rpc_fixture test;
    test.rpc_server.bind_immediate(
        "note",
        [&](Json::Value const&)
        {
            test.server_journal.record({});
            return Json::Value(true);
        });
    test.client_journal.observe(100);
    auto const sent_at = test.client_journal.logical_time();
    cr_assert(test.call("note", Json::Value(Json::objectValue)).ok());
    auto const recorded_at = test.server_journal.events().back().logical_time;
    cr_assert_gt(recorded_at, sent_at);
    cr_assert_gt(test.client_journal.logical_time(), recorded_at);
}

// Guards against a metric that is registered twice being counted separately.
Test(metrics, serves_text)
{
    fixture test;
    metrics registry;
    registry.serve(*test.server);
    registry.counter("requests_total", "Requests.", {{"kind", "a"}}).Increment();
    registry.counter("requests_total", "Requests.", {{"kind", "a"}}).Increment();
    auto const response = test.fetch(test.request("/metrics"));
    cr_assert_eq(response.status, 200);
    cr_assert(response.body.find("requests_total{kind=\"a\"} 2") != std::string::npos);
}
