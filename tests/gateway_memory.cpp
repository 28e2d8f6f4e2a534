#include <almondcart/http1/byte_stream.hpp>

#include <criterion/criterion.h>
#include <sys/socket.h>

#include <memory>
#include <string>
#include <vector>

#include "support/endless_responses.hpp"
#include "support/faulty_server.hpp"
#include "support/process_memory.hpp"
#include "support/scripted_fixture.hpp"

using namespace almondcart;
using namespace almondcart::test_support;
using standins::upstream_mode;

namespace {

/// Memory of the smallest entry VM that the project is deployed on.
constexpr long memory_limit_kb = 110 * 1000;

std::string request_text(std::string const& path, std::string const& id, std::size_t length)
{
    std::string text = "POST " + path + " HTTP/1.1\r\nHost: club.example\r\n";
    http1::append_headers(text, gateway_fixture::client_headers(id));
    return text + "Content-Length: " + std::to_string(length) + "\r\n\r\n";
}

/// Connection of a client that sends and never reads.
class silent_reader
{
public:
    silent_reader(std::string const& address, std::string const& text)
        : socket_(connect_to(address))
    {
        cr_assert(socket_.is_open());
        send(socket_.descriptor(), text.data(), text.size(), MSG_NOSIGNAL);
    }

private:
    tcp_socket socket_;
};

struct memory_fixture : gateway_fixture
{
    memory_fixture() { start_serving(); }

    void set_modes(upstream_mode mode)
    {
        first.set_mode(mode);
        second.set_mode(mode);
    }

    void wait(duration time)
    {
        auto const end = loop.now() + time;
        run_until([&] { return loop.now() >= end; });
    }

    void check_memory()
    {
        cr_assert_not(gateway->try_wait().has_value());
        auto const peak = peak_memory_kb(gateway->id());
        cr_assert_gt(peak, 0);
        cr_assert_lt(peak, memory_limit_kb, "%ld kB", peak);
    }
};

} // namespace

// Upstreams send streams without end to clients that do not read. Guards against a gateway that
// keeps all of it in memory and is killed with all its requests.
Test(gateway_memory, streams_without_end_wait_for_their_clients)
{
    memory_fixture it;
    it.set_modes(upstream_mode::endless_stream);
    std::vector<silent_reader> clients;
    clients.reserve(24);
    for (int n = 0; n < 24; ++n)
        clients.emplace_back(it.listen, request_text("/stream/x", "s-" + std::to_string(n), 0));
    for (int n = 0; n < 20; ++n)
    {
        it.wait(duration(50));
        cr_assert_eq(it.ask("/unsafe/x", "r-" + std::to_string(n)).head.status, 200);
    }
    it.check_memory();
}

// Upstreams send answers up to the size limit, many at once. Guards against a sum of answers, each
// within its limit, that fills the memory.
Test(gateway_memory, many_large_answers_at_once_stay_within_the_memory)
{
    memory_fixture it;
    it.set_modes(upstream_mode::endless_body);
    std::vector<std::shared_ptr<client_response>> responses;
    for (int n = 0; n < 150; ++n)
        responses.push_back(it.send(
            it.listen,
            "POST",
            "/unsafe/x",
            gateway_fixture::client_headers("r-" + std::to_string(n))));
    for (auto const& response : responses)
    {
        it.run_until([&] { return response->end.has_value(); });
        cr_assert(response->head.status == 502 || response->head.status == 503);
    }
    it.check_memory();
    it.set_modes(upstream_mode::single_body);
    it.wait(duration(1000));
    cr_assert_eq(it.ask("/unsafe/x", "after").head.status, 200);
}

// Clients send large bodies that never end, many at once. Guards against a sum of bodies that fills
// the memory, and against small requests that are refused with them.
Test(gateway_memory, many_large_requests_at_once_stay_within_the_memory)
{
    memory_fixture it;
    constexpr std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    std::string const part(body_bytes - 1, 'x');
    std::vector<std::string> responses(40);
    std::vector<std::unique_ptr<http1::byte_stream>> clients;
    for (auto& response : responses)
    {
        http1::byte_stream::callbacks hooks;
        hooks.on_data = [&response](std::string_view data) { response += data; };
        hooks.on_end = [](http1::close_reason) {};
        clients.push_back(http1::byte_stream::connect(
            it.loop, *socket_address::parse(it.listen), std::move(hooks)));
        clients.back()->write(request_text("/unsafe/x", "large", body_bytes) + part);
    }
    for (int n = 0; n < 10; ++n)
    {
        it.wait(duration(50));
        cr_assert_eq(it.ask("/unsafe/x", "r-" + std::to_string(n)).head.status, 200);
    }
    it.check_memory();
    int refusals = 0;
    for (auto const& response : responses)
    {
        refusals += response.starts_with("HTTP/1.1 503 ") ? 1 : 0;
        cr_assert(response.empty() || response.find("Retry-After") != std::string::npos);
    }
    cr_assert_gt(refusals, 0);
}

// A client reads a long stream more slowly than it comes. Guards against a stream that loses or
// repeats events, or that is cut, because its upstream is slowed down.
Test(gateway_memory, a_client_that_reads_slowly_gets_its_whole_stream)
{
    constexpr int event_count = 20'000;
    auto const content = events(1, event_count);
    scripted_fixture it(
        [&](std::string const& id, std::string const&)
        {
            auto const head =
                signed_head(id) + "Content-Length: " + std::to_string(content.size()) + "\r\n\r\n";
            return scripted_upstream::reply{head + content, false};
        },
        10'000);
    auto const client = connect_to(it.listen);
    auto headers = gateway_fixture::client_headers("slow");
    std::erase_if(headers, [](auto const& it) { return it.first == "X-Almondcart-Deadline-Ms"; });
    std::string text = "POST /stream/x HTTP/1.0\r\nHost: club.example\r\n";
    http1::append_headers(text, headers);
    text += "Content-Length: 0\r\n\r\n";
    send(client.descriptor(), text.data(), text.size(), MSG_NOSIGNAL);
    std::string received;
    std::string buf(16 * 1024, '\0');
    bool is_ended = false;
    it.run_until(
        [&]
        {
            auto const n = recv(client.descriptor(), buf.data(), buf.size(), MSG_DONTWAIT);
            if (n > 0)
                received.append(buf, 0, static_cast<std::size_t>(n));
            is_ended = n == 0;
            return is_ended;
        });
    auto const start = received.find("\r\n\r\n");
    cr_assert(received.starts_with("HTTP/1.1 200 "));
    cr_assert(received.substr(start + 4) == content, "%zu bytes", received.size());
}

// An upstream continues a stream with bytes that are no events, and another one with more events
// than the request may have. Guards against passing them on as answers.
Test(gateway_memory, bytes_that_are_no_events_end_a_stream)
{
    std::string content;
    scripted_fixture it(
        [&](std::string const& id, std::string const&)
        {
            auto const head = signed_head(id) + "\r\n";
            return scripted_upstream::reply{head + content, true};
        });
    content = events(1, 2) + "\xfe\x01\x80\n\n" + events(3, 3);
    auto const noise = it.ask("/stream/x", "r-1");
    cr_assert_not(noise.is_complete());
    cr_assert_eq(noise.body, events(1, 2));
    content = events(1, 200);
    auto const surplus = it.ask("/stream/x", headers_with_tokens("r-2", 10, 20));
    cr_assert_not(surplus.is_complete());
    content = events(1, 20);
    auto const whole = it.ask("/stream/x", headers_with_tokens("r-3", 10, 20));
    cr_assert(whole.is_complete());
    cr_assert_eq(whole.body, content);
}

// An upstream sends bytes without end, in a head or in a body, to many requests at once, until the
// gateway closes. Guards against a gateway that keeps them all and is killed with all its requests.
Test(gateway_memory, responses_without_end_stay_within_the_memory)
{
    std::string const interim = "HTTP/1.1 102 Processing\r\n\r\n";
    std::string const unrelated = "body of another response";
    auto responses = endless_responses_without_content();
    for (auto const& it : endless_bodies())
        responses.push_back(it);
    responses.push_back({"interim responses", interim, repeat(interim)});
    responses.push_back({unrelated, "\r\n", repeat("xxxxxxxx")});
    gateway_fixture it;
    endless_response current;
    faulty_server upstream(
        it.loop,
        [&](std::string const& beginning)
        {
            auto const id =
                current.name == unrelated ? "another" : scripted_upstream::request_id(beginning);
            auto const head = current.begin == interim ? "" : signed_head(id);
            return faulty_server::reply{head + current.begin, current.repeated};
        });
    it.configure(1, 1'000'000);
    it.store.put(
        "keyed.servers", "i-1", it.first.registry_entry("models", "ready", upstream.address()));
    it.wait_until_ready();
    int request_count = 0;
    for (auto const& next : responses)
    {
        current = next;
        std::vector<std::shared_ptr<client_response>> clients;
        for (int n = 0; n < 40; ++n)
        {
            std::string const path = n % 2 == 0 ? "/unsafe/x" : "/stream/x";
            auto const id = "r-" + std::to_string(++request_count);
            clients.push_back(
                it.send(it.listen, "POST", path, gateway_fixture::client_headers(id)));
        }
        for (auto const& client : clients)
        {
            it.run_until([&] { return client->end.has_value(); });
            cr_assert_not(
                client->is_complete() && client->head.status == 200, "%s", next.name.c_str());
        }
        auto const peak = peak_memory_kb(it.gateway->id());
        cr_assert_not(it.gateway->try_wait().has_value(), "%s", next.name.c_str());
        cr_assert_gt(peak, 0);
        cr_assert_lt(peak, memory_limit_kb, "%s: %ld kB", next.name.c_str(), peak);
    }
    it.add(it.first);
    it.run_until([&] { return it.ask("/unsafe/x", "after").head.status == 200; });
}
