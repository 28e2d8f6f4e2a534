#include <criterion/criterion.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <memory>
#include <string>
#include <vector>

#include "support/scripted_fixture.hpp"

using namespace almondcart;
using namespace almondcart::test_support;
using standins::upstream_mode;

namespace {

constexpr std::size_t answer_bytes = 900'000;

/// Client on a connection with the segment size and the window of a wide area network, because on
/// loopback the kernel would hold a whole answer. It reads a given number of bytes a time.
class slow_reader
{
public:
    slow_reader(std::string const& address, std::string const& id)
        : socket_(socket(AF_INET, SOCK_STREAM, 0))
    {
        int const segment = 1460;
        int const window = 32 * 1024;
        setsockopt(socket_.descriptor(), IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof(segment));
        setsockopt(socket_.descriptor(), SOL_SOCKET, SO_RCVBUF, &window, sizeof(window));
        auto server = *socket_address::parse(address);
        cr_assert_eq(connect(socket_.descriptor(), server.native(), server.size()), 0);
        std::string text = "POST /unsafe/x HTTP/1.1\r\nHost: club.example\r\n";
        http1::append_headers(text, gateway_fixture::client_headers(id));
        text += "Content-Length: 0\r\n\r\n";
        send(socket_.descriptor(), text.data(), text.size(), MSG_NOSIGNAL);
    }

    void read()
    {
        std::string buf(part_bytes, '\0');
        auto const n = recv(socket_.descriptor(), buf.data(), buf.size(), MSG_DONTWAIT);
        if (n > 0)
            received_ += static_cast<std::size_t>(n);
        is_ended_ = is_ended_ || n == 0 || (n < 0 && errno != EAGAIN);
    }

    std::size_t received() const { return received_; }
    bool is_ended() const { return is_ended_; }

private:
    static constexpr std::size_t part_bytes = 8 * 1024;

    tcp_socket socket_;
    std::size_t received_ = 0;
    bool is_ended_ = false;
};

} // namespace

// Clients read large answers slowly when the gateway is stopped. Guards against answers that are
// cut because the gateway takes them for delivered.
Test(gateway_stop, answers_that_are_still_being_written_are_not_cut)
{
    scripted_fixture it(
        [&](std::string const& id, std::string const&)
        {
            return scripted_upstream::reply{
                signed_head(id) + "Content-Length: " + std::to_string(answer_bytes) + "\r\n\r\n" +
                    std::string(answer_bytes, 'x'),
                false};
        });
    std::vector<std::unique_ptr<slow_reader>> clients;
    for (int n = 0; n < 8; ++n)
        clients.push_back(std::make_unique<slow_reader>(it.listen, "r-" + std::to_string(n)));
    it.run_until([&] { return it.upstream.request_counts().size() == clients.size(); });
    it.gateway->send_signal(SIGTERM);
    // At this rate an answer takes about five and a half seconds, which is beyond the time in which
    // new requests are taken.
    constexpr duration period{50};
    it.loop.every(
        period,
        [&]
        {
            for (auto const& client : clients)
                client->read();
        });
    it.run_until(
        [&]
        {
            return std::ranges::all_of(
                clients,
                [](auto const& it) { return it->is_ended() || it->received() > answer_bytes; });
        });
    for (auto const& client : clients)
        cr_assert_gt(client->received(), answer_bytes, "%zu bytes", client->received());
    cr_assert_eq(it.gateway->wait(), 0);
}

// Requests keep coming, on kept and new connections, from the stop of the gateway to its exit, to
// upstreams that take most of their deadline. Guards against requests that are passed on late and
// cut at the end without an answer.
Test(gateway_stop, requests_that_come_late_are_answered_or_refused)
{
    gateway_fixture it;
    it.start_serving();
    it.first.set_mode(upstream_mode::stream);
    it.second.set_mode(upstream_mode::stream);
    it.first.set_streams_paused(true);
    it.second.set_streams_paused(true);
    constexpr duration answer_time{1200};
    constexpr duration period{100};
    for (auto* upstream : {&it.first, &it.second})
        upstream->on_execution(
            [&it, upstream](std::string const&)
            { it.loop.after(answer_time, [upstream] { upstream->release(); }); });
    std::vector<std::pair<std::string, std::shared_ptr<client_response>>> sent;
    it.gateway->send_signal(SIGTERM);
    auto next = it.loop.now();
    it.run_until(
        [&]
        {
            if (it.loop.now() >= next)
            {
                next = it.loop.now() + period;
                auto const id = "late-" + std::to_string(sent.size());
                sent.emplace_back(
                    id,
                    it.send(it.listen, "POST", "/stream/x", gateway_fixture::client_headers(id)));
            }
            return it.gateway->try_wait().has_value();
        });
    it.run_until(
        [&] {
            return std::ranges::all_of(
                sent, [](auto const& it) { return it.second->end.has_value(); });
        });
    int answered = 0;
    for (auto const& [id, response] : sent)
    {
        bool const has_run =
            it.first.execution_counts().contains(id) || it.second.execution_counts().contains(id);
        if (has_run)
            cr_assert(response->is_complete(), "%s", id.c_str());
        if (has_run)
            cr_assert_eq(response->head.status, 200, "%s", id.c_str());
        answered += has_run ? 1 : 0;
    }
    cr_assert_gt(answered, 10);
}
