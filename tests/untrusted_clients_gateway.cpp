#include <criterion/criterion.h>
#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <memory>
#include <string>
#include <vector>

#include "support/gateway_fixture.hpp"
#include "support/process_memory.hpp"

// Each test starts a gateway with a small memory and few descriptors, opens a crowd of connections
// that misuse it, and checks that the process lives within both and serves an ordinary request.
// The crowds and bounds were fixed on code that failed on them; they are not to be eased.

using namespace almondcart;
using namespace almondcart::test_support;

namespace {

constexpr int memory_mb = 64;
constexpr int max_descriptors = 500;

/// Descriptors that the process keeps for files.
constexpr int reserved_descriptors = 200;

constexpr std::size_t crowd_size = 280;
constexpr std::size_t body_limit_bytes = std::size_t{4} * 1024 * 1024;

/// How long a crowd is observed, in rounds of 50 ms, before the ordinary request is sent.
constexpr int round_count = 30;

std::string request_text(std::string const& id, std::string const& framing)
{
    std::string text = "POST /unsafe/x HTTP/1.1\r\nHost: club.example\r\n";
    http1::append_headers(text, gateway_fixture::client_headers(id));
    return text + framing + "\r\n\r\n";
}

std::string request_with_length(std::string const& id, std::size_t length)
{
    return request_text(id, "Content-Length: " + std::to_string(length));
}

/// A chunk of `size` bytes.
std::string chunk_text(std::size_t size)
{
    return fmt::format("{:x}\r\n", size) + std::string(size, 'x') + "\r\n";
}

Json::Value small_machine()
{
    Json::Value settings(Json::objectValue);
    settings["memory_mb"] = memory_mb;
    settings["max_descriptors"] = max_descriptors;
    return settings;
}

/// Connections that send what they are given as fast as the gateway takes it.
class crowd
{
public:
    crowd(event_loop& loop, std::string const& address, bool is_reading)
    {
        for (std::size_t n = 0; n < crowd_size; ++n)
        {
            http1::byte_stream::callbacks hooks;
            hooks.on_data = [](std::string_view) {};
            hooks.on_end = [](http1::close_reason) {};
            streams_.push_back(http1::byte_stream::connect(
                loop, *socket_address::parse(address), std::move(hooks)));
            if (!is_reading)
                streams_.back()->pause_reading();
        }
    }

    std::size_t size() const { return streams_.size(); }
    void send(std::size_t n, std::string_view text) { streams_[n]->write(text); }
    void send_to_all(std::string_view text)
    {
        for (auto const& it : streams_)
            it->write(text);
    }

private:
    std::vector<std::unique_ptr<http1::byte_stream>> streams_;
};

struct untrusted_fixture : gateway_fixture
{
    untrusted_fixture()
        : gateway_fixture(small_machine())
    {
        start_serving();
    }

    void wait(duration time)
    {
        auto const end = loop.now() + time;
        run_until([&] { return loop.now() >= end; });
    }

    int count_descriptors() const
    {
        std::filesystem::directory_iterator const entries(
            "/proc/" + std::to_string(gateway->id()) + "/fd");
        return static_cast<int>(std::distance(begin(entries), end(entries)));
    }

    /// Lets the gateway run beside the crowd and checks it.
    void check()
    {
        int descriptors = 0;
        for (int n = 0; n < round_count; ++n)
        {
            wait(duration(50));
            cr_assert_not(gateway->try_wait().has_value());
            descriptors = std::max(descriptors, count_descriptors());
        }
        // A refusal promises that the request did not run, so that it may be sent again.
        int status = 0;
        for (int n = 0; n < round_count && status != 200; ++n)
        {
            status = ask("/unsafe/x", "ordinary-" + std::to_string(n)).head.status;
            wait(duration(50));
        }
        cr_assert_not(gateway->try_wait().has_value());
        auto const peak = peak_memory_kb(gateway->id());
        std::fprintf(stderr, "peak_kb=%ld descriptors=%d\n", peak, descriptors);
        cr_assert_gt(peak, 0);
        cr_expect_lt(peak, memory_mb * 1000L, "%ld kB", peak);
        cr_expect_leq(descriptors, max_descriptors - reserved_descriptors);
        cr_assert_eq(status, 200);
    }
};

} // namespace

// Guards against chunked bodies whose sum fills the memory: chunks of 256 KiB, without the end.
Test(untrusted_clients_gateway, large_chunks_that_stop_short)
{
    untrusted_fixture it;
    crowd clients(it.loop, it.listen, true);
    auto const part = chunk_text(std::size_t{256} * 1024);
    for (std::size_t n = 0; n < clients.size(); ++n)
        clients.send(n, request_text("c-" + std::to_string(n), "Transfer-Encoding: chunked"));
    for (int parts = 0; parts < 4; ++parts)
    {
        clients.send_to_all(part);
        it.wait(duration(50));
    }
    it.check();
}

// Guards against chunked bodies that need many times their size: chunks of one byte.
Test(untrusted_clients_gateway, chunks_of_one_byte_that_stop_short)
{
    untrusted_fixture it;
    crowd clients(it.loop, it.listen, true);
    std::string part;
    for (int n = 0; n < 80'000; ++n)
        part += "1\r\nx\r\n";
    for (std::size_t n = 0; n < clients.size(); ++n)
        clients.send(
            n, request_text("c-" + std::to_string(n), "Transfer-Encoding: chunked") + part);
    it.check();
}

// Guards against pipelined requests, and their answers, that wait in the memory of the gateway
// because the client reads none.
Test(untrusted_clients_gateway, pipelined_requests_whose_answers_are_not_read)
{
    untrusted_fixture it;
    crowd clients(it.loop, it.listen, false);
    constexpr std::size_t requests = 24;
    std::string const body(std::size_t{16} * 1024, 'x');
    for (std::size_t n = 0; n < clients.size(); ++n)
    {
        std::string text;
        for (std::size_t i = 0; i < requests; ++i)
            text += request_with_length(
                        "p-" + std::to_string(n) + "-" + std::to_string(i), body.size()) +
                    body;
        clients.send(n, text);
    }
    it.check();
}

// Guards against bodies of legal size whose sum fills the memory, sent at once.
Test(untrusted_clients_gateway, large_bodies_that_stop_short)
{
    untrusted_fixture it;
    crowd clients(it.loop, it.listen, true);
    std::string const body(body_limit_bytes / 4 - 1, 'x');
    for (std::size_t n = 0; n < clients.size(); ++n)
        clients.send(n, request_with_length("l-" + std::to_string(n), body.size() + 1) + body);
    it.check();
}

// Guards against bodies of legal size whose sum fills the memory, sent piece by piece.
Test(untrusted_clients_gateway, large_bodies_in_pieces_that_stop_short)
{
    untrusted_fixture it;
    crowd clients(it.loop, it.listen, true);
    std::string const piece(std::size_t{64} * 1024, 'x');
    constexpr std::size_t pieces = 16;
    for (std::size_t n = 0; n < clients.size(); ++n)
        clients.send(n, request_with_length("l-" + std::to_string(n), pieces * piece.size() + 1));
    for (std::size_t i = 0; i < pieces; ++i)
    {
        clients.send_to_all(piece);
        it.wait(duration(30));
    }
    it.check();
}

// Guards against whole bodies of legal size whose sum, and the copies for upstreams, fill the
// memory.
Test(untrusted_clients_gateway, large_whole_bodies)
{
    untrusted_fixture it;
    crowd clients(it.loop, it.listen, true);
    std::string const body(body_limit_bytes / 4, 'x');
    for (std::size_t n = 0; n < clients.size(); ++n)
        clients.send(n, request_with_length("l-" + std::to_string(n), body.size()) + body);
    it.check();
}

// Guards against limits that refuse, or do not pass on, what the operator's limits allow while
// nothing else is there.
Test(untrusted_clients_gateway, the_largest_legal_body_is_served_in_calm)
{
    untrusted_fixture it;
    std::string response;
    http1::byte_stream::callbacks hooks;
    hooks.on_data = [&](std::string_view data) { response += data; };
    hooks.on_end = [](http1::close_reason) {};
    auto const client =
        http1::byte_stream::connect(it.loop, *socket_address::parse(it.listen), std::move(hooks));
    client->write(
        request_with_length("largest", body_limit_bytes) + std::string(body_limit_bytes, 'x'));
    it.run_until([&] { return response.find("\r\n\r\n") != std::string::npos; });
    cr_assert(response.starts_with("HTTP/1.1 200 "), "%s", response.c_str());
    it.check();
}
