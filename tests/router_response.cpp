#include <almondcart/http/http_server.hpp>
#include <almondcart/http/socket_address.hpp>

#include <criterion/criterion.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <memory>
#include <string>

#include "client_response.hpp"

using namespace almondcart;

// A client reads nothing of a stream that goes on. Guards against a router that keeps all of it in
// memory.
Test(router_response, a_client_that_reads_nothing_is_disconnected)
{
    event_loop loop;
    auto const server = *http_server::create(loop, {"127.0.0.1:0"});
    std::unique_ptr<client_response> response;
    std::shared_ptr<http_exchange> exchange;
    bool is_gone = false;
    server->route(
        "GET",
        "/",
        [&](std::shared_ptr<http_exchange> const& it)
        {
            exchange = it;
            response = std::make_unique<client_response>(it, response_format::chat_stream, "key");
            response->on_disconnect([&] { is_gone = true; });
        });
    auto address = *socket_address::parse(server->address());
    int const fd = socket(AF_INET, SOCK_STREAM, 0);
    cr_assert_eq(connect(fd, address.native(), address.size()), 0);
    std::string const request = "GET / HTTP/1.1\r\nhost: a\r\n\r\n";
    send(fd, request.data(), request.size(), MSG_NOSIGNAL);
    loop.run_until([&] { return response != nullptr; });
    data_frame frame;
    frame.data = std::string(std::size_t{64} * 1024, 'x');
    std::size_t most_pending = 0;
    loop.every(
        duration(1),
        [&]
        {
            if (!is_gone)
                response->add(frame);
            most_pending = std::max(most_pending, exchange->pending_bytes());
        });
    constexpr std::size_t limit = std::size_t{2} * 1024 * 1024;
    loop.run_until([&] { return is_gone || most_pending > limit; });
    cr_assert(is_gone);
    close(fd);
}
