#include <almondcart/core/buffer_budget.hpp>

#include <criterion/criterion.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "support/endless_responses.hpp"
#include "support/faulty_server.hpp"
#include "support/http1_fixture.hpp"

using namespace almondcart;
using namespace almondcart::http1;
using namespace almondcart::test_support;

namespace {

constexpr std::size_t megabyte = 1'000'000;

/// Buffers of a process with `memory_mb` 110.
constexpr std::size_t buffer_bytes = 27 * megabyte;

void wait(event_loop& loop, duration time)
{
    auto const end = loop.now() + time;
    loop.run_until([&] { return loop.now() >= end; });
}

std::string post(std::size_t length)
{
    return "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(length) + "\r\n\r\n";
}

struct limited_fixture : server_fixture
{
    explicit limited_fixture(std::size_t bytes)
        : budget(std::make_shared<buffer_budget>(bytes, bytes / 4))
    {
        server->set_buffer_budget(budget);
        server->on_limit([this](client_limit it, std::string const&) { reached.push_back(it); });
    }

    std::shared_ptr<buffer_budget> budget;
    std::vector<client_limit> reached;
};

} // namespace

// Guards against limits that refuse what the operator's limits allow while nothing else is there.
Test(client_limits, the_largest_legal_body_is_served_in_calm)
{
    for (bool const is_chunked : {false, true})
    {
        limited_fixture it(buffer_bytes);
        raw_client client(it);
        std::string const body(std::size_t{4} * 1024 * 1024, 'x');
        if (is_chunked)
            client.stream->write(
                "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n" + body +
                "\r\n0\r\n\r\n");
        else
            client.stream->write(post(body.size()) + body);
        it.loop.run_until([&] { return !it.exchanges.empty() || client.is_ended; });
        cr_assert_eq(it.exchanges.size(), 1);
        cr_assert(it.exchanges[0]->body() == body);
        cr_assert_geq(it.budget->used_bytes(), body.size());
        it.exchanges[0]->respond(200, {}, "x");
        it.exchanges.clear();
        it.loop.run_until([&] { return client.received.ends_with("x"); });
        cr_assert_lt(it.budget->used_bytes(), body.size());
        cr_assert(it.reached.empty());
    }
}

// Guards against a process that runs and answers what nobody takes, and against requests that are
// lost because they were not read at first.
Test(client_limits, a_pipelined_request_waits_until_the_answer_before_it_is_taken)
{
    limited_fixture it(buffer_bytes);
    raw_client client(it);
    client.stream->pause_reading();
    constexpr std::size_t count = 200;
    std::string text;
    for (std::size_t n = 0; n < count; ++n)
        text += post(1000) + std::string(1000, 'x');
    client.stream->write(text);
    it.loop.run_until([&] { return !it.exchanges.empty(); });
    // Fills the kernel's buffers, so that the rest waits in the process.
    it.exchanges[0]->respond(200, {}, std::string(20 * megabyte, 'x'));
    wait(it.loop, duration(200));
    cr_assert_eq(it.exchanges.size(), 1);
    client.stream->resume_reading();
    for (std::size_t n = 1; n < count; ++n)
    {
        it.loop.run_until([&] { return it.exchanges.size() > n || client.is_ended; });
        cr_assert_eq(it.exchanges.size(), n + 1);
        it.exchanges[n]->respond(200, {}, "x");
    }
}

// Guards against work for a client that has left behind requests that were not read. What it sent
// fits into the window; the end of a connection cannot be seen behind bytes that do not.
Test(client_limits, a_client_that_leaves_while_its_reading_is_paused_is_noticed)
{
    limited_fixture it(buffer_bytes);
    auto client = std::make_unique<raw_client>(it);
    client->stream->write(post(0) + post(6000) + std::string(6000, 'x'));
    it.loop.run_until([&] { return !it.exchanges.empty(); });
    bool is_gone = false;
    it.exchanges[0]->on_disconnect([&] { is_gone = true; });
    wait(it.loop, duration(100));
    client.reset();
    it.loop.run_until([&] { return is_gone; });
    cr_assert_eq(it.exchanges.size(), 1);
}

// Two bodies do not fit at once. Guards against a body that is refused although room comes soon,
// and against one that is never read again.
Test(client_limits, a_body_waits_for_memory_and_is_served_then)
{
    limited_fixture it(2 * megabyte);
    raw_client first(it);
    std::string const body(megabyte / 2, 'x');
    first.stream->write(post(body.size()) + body);
    it.loop.run_until([&] { return it.exchanges.size() == 1; });
    buffer_account other(it.budget);
    other.resize(megabyte);
    raw_client second(it);
    second.stream->write(post(body.size()) + body);
    wait(it.loop, duration(150));
    cr_assert_eq(it.exchanges.size(), 1);
    cr_assert(second.received.empty());
    other.resize(0);
    it.loop.run_until([&] { return it.exchanges.size() == 2 || second.is_ended; });
    cr_assert_eq(it.exchanges.size(), 2);
    cr_assert(it.exchanges[1]->body() == body);
}

// Guards against a refusal without the promise that the request may be sent again, and against a
// refused request that runs.
Test(client_limits, a_body_that_gets_no_memory_is_refused_as_not_run)
{
    limited_fixture it(2 * megabyte);
    buffer_account other(it.budget);
    other.resize(2 * megabyte);
    raw_client client(it);
    client.stream->write(post(megabyte / 2) + std::string(megabyte / 2, 'x'));
    it.loop.run_until([&] { return client.is_ended; });
    cr_assert(client.received.starts_with("HTTP/1.1 503 "));
    cr_assert_neq(client.received.find("Retry-After: "), std::string::npos);
    cr_assert_neq(client.received.find("Connection: close"), std::string::npos);
    cr_assert(it.exchanges.empty());
    raw_client small(it);
    small.stream->write(post(0));
    it.loop.run_until([&] { return it.exchanges.size() == 1; });
}

// Guards against clients that hold all connections, and against closing one that is in use.
Test(client_limits, idle_connections_make_room_for_new_ones)
{
    limited_fixture it(buffer_bytes);
    it.server->set_connection_limit(16);
    raw_client busy(it);
    busy.stream->write(post(0));
    it.loop.run_until([&] { return it.exchanges.size() == 1; });
    std::vector<std::unique_ptr<raw_client>> idle;
    for (int n = 0; n < 40; ++n)
        idle.push_back(std::make_unique<raw_client>(it));
    wait(it.loop, duration(1200));
    cr_assert_leq(it.server->connection_count(), 16);
    raw_client next(it);
    next.stream->write(post(0));
    it.loop.run_until([&] { return it.exchanges.size() == 2 || next.is_ended; });
    cr_assert_eq(it.exchanges.size(), 2);
    it.exchanges[0]->respond(200, {}, "x");
    it.loop.run_until([&] { return busy.received.ends_with("x") || busy.is_ended; });
    cr_assert_not(busy.is_ended);
}

// A body comes at 100 bytes a second. Guards against a body that lasts for ever because each part
// of it is in time.
Test(client_limits, a_body_that_comes_too_slowly_is_refused)
{
    limited_fixture it(buffer_bytes);
    it.server->set_limits({.header_timeout = duration(100)});
    raw_client client(it);
    client.stream->write(post(10'000));
    for (int n = 0; n < 100 && !client.is_ended; ++n)
    {
        client.stream->write("x");
        wait(it.loop, duration(10));
    }
    it.loop.run_until([&] { return client.is_ended; });
    cr_assert(client.received.starts_with("HTTP/1.1 408 "));
    cr_assert(it.exchanges.empty());
}

// The server answers before it has taken the whole body. Guards against a next request on the
// connection that is sent into the body of the one before.
Test(outbound_connection, a_connection_with_an_unsent_body_is_not_reusable)
{
    client_fixture it("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    it.raw = std::make_unique<client_fixture::raw_listener>(it.loop, it.text, false);
    it.connection = std::make_unique<outbound_connection>(it.loop, it.raw->address());
    auto const body = std::make_shared<std::string>(20 * megabyte, 'x');
    bool is_reusable = true;
    outbound_connection::exchange_callbacks callbacks;
    callbacks.on_end = [&](exchange_outcome outcome)
    {
        it.outcome = outcome;
        is_reusable = it.connection->is_reusable();
    };
    it.connection->send(
        "POST",
        "POST / HTTP/1.1\r\nContent-Length: " + std::to_string(body->size()) + "\r\n\r\n",
        *body,
        body,
        std::move(callbacks));
    it.loop.run_until([&] { return it.outcome.has_value(); });
    cr_assert(*it.outcome == exchange_outcome::complete);
    cr_assert_not(is_reusable);
}

// The server answers a long upload at once without a length, and resets the connection while the
// upload is still being written. The failed write learns of the reset, and the next read reports an
// ordinary end. Guards against a part of a response that counts as the whole.
Test(outbound_connection, a_reset_during_an_upload_leaves_the_response_incomplete)
{
    event_loop loop;
    faulty_server server(
        loop,
        [](std::string const&) {
            return faulty_server::reply{"HTTP/1.1 200 OK\r\n\r\npart of the answer", {}};
        });
    outbound_connection connection(loop, *socket_address::parse(server.address()));
    auto const body = std::make_shared<std::string>(20 * megabyte, 'x');
    std::string received;
    std::optional<exchange_outcome> outcome;
    outbound_connection::exchange_callbacks callbacks;
    callbacks.on_body = [&](std::string_view data) { received += data; };
    callbacks.on_end = [&](exchange_outcome it) { outcome = it; };
    connection.send("POST", post(body->size()), *body, body, std::move(callbacks));
    loop.run_until([&] { return outcome.has_value(); });
    cr_assert_eq(received, "part of the answer");
    cr_assert(*outcome == exchange_outcome::broken_off);
}

// A server sends bytes without end that bring nothing to the response. Guards against a connection
// that reads them as long as they come, which costs the processor time of other requests.
Test(outbound_connection, bytes_without_end_and_content_are_malformed)
{
    auto responses = endless_responses_without_content();
    responses.push_back({"body of another response", "X-Rejected: 1\r\n\r\n", repeat("xxxxxxxx")});
    for (auto const& it : responses)
    {
        event_loop loop;
        faulty_server server(
            loop,
            [&](std::string const&) {
                return faulty_server::reply{"HTTP/1.1 200 OK\r\n" + it.begin, it.repeated};
            });
        outbound_connection connection(loop, *socket_address::parse(server.address()));
        std::optional<exchange_outcome> outcome;
        outbound_connection::exchange_callbacks callbacks;
        callbacks.on_head = [](response_head const& head)
        { return !find_header(head.headers, "x-rejected"); };
        callbacks.on_end = [&](exchange_outcome it) { outcome = it; };
        connection.send("GET", "GET / HTTP/1.1\r\n\r\n", std::move(callbacks));
        constexpr duration time_limit{5'000};
        auto const end = loop.now() + time_limit;
        loop.run_until([&] { return outcome.has_value() || loop.now() >= end; });
        cr_assert(outcome == exchange_outcome::malformed, "%s", it.name.c_str());
    }
}

// Guards against bytes that overtake a part written without a copy, or replace it.
Test(byte_stream, bytes_behind_a_shared_part_follow_it)
{
    server_fixture it;
    raw_client client(it);
    auto const part = std::make_shared<std::string>(3 * megabyte, 's');
    client.stream->write(post(part->size() + 3));
    client.stream->write_shared(*part, part);
    client.stream->write("abc");
    it.loop.run_until([&] { return !it.exchanges.empty(); });
    cr_assert(it.exchanges[0]->body() == *part + "abc");
}

// A write is completed after the peer has read, and leaves the socket full. The next one is small,
// completes at once, and is the last. Guards against a socket that is still polled for writing
// then, which h2o ends the process for once the peer reads on.
Test(byte_stream, a_small_write_on_a_full_socket_ends_no_process)
{
    event_loop loop;
    auto const tick = loop.every(duration(1), [] {});
    auto const run = [&](int count)
    { loop.run_until([rounds = count + 1]() mutable { return --rounds == 0; }); };
    std::string buf(std::size_t{4} * 1024, '\0');
    for (std::size_t size = 300'000; size < 500'000; size += 5'000)
    {
        std::array<int, 2> pair{};
        cr_assert_eq(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK, 0, pair.data()), 0);
        auto const stream = byte_stream::adopt(loop, pair[0], {});
        std::size_t received = 0;
        auto const read_some = [&]
        {
            auto const n = recv(pair[1], buf.data(), buf.size(), 0);
            received += n > 0 ? static_cast<std::size_t>(n) : 0;
        };
        stream->write(std::string(size, 'x'));
        run(10);
        while (stream->pending_bytes() > 0)
        {
            read_some();
            run(1);
        }
        stream->write("x");
        run(2);
        while (received <= size)
        {
            read_some();
            run(1);
        }
        cr_assert_eq(received, size + 1);
        ::close(pair[1]);
    }
}
