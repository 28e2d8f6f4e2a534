#pragma once

#include <almondcart/http1/inbound_server.hpp>
#include <almondcart/http1/outbound_connection.hpp>

#include <netinet/in.h>
#include <sys/socket.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace almondcart::test_support {

using namespace almondcart::http1;

/// A server on the loopback interface.
struct server_fixture
{
    event_loop loop;
    std::vector<std::shared_ptr<inbound_exchange>> exchanges;
    std::unique_ptr<inbound_server> server = *inbound_server::create(
        loop,
        "127.0.0.1:0",
        [this](std::shared_ptr<inbound_exchange> it) { exchanges.push_back(std::move(it)); });

    socket_address address() const
    {
        return *socket_address::parse("127.0.0.1:" + std::to_string(server->port()));
    }
};

struct raw_client
{
    explicit raw_client(server_fixture& server)
    {
        byte_stream::callbacks hooks;
        hooks.on_data = [this](std::string_view data) { received += data; };
        hooks.on_end = [this](close_reason) { is_ended = true; };
        stream = byte_stream::connect(server.loop, server.address(), std::move(hooks));
    }

    std::string received;
    bool is_ended = false;
    std::unique_ptr<byte_stream> stream;
};

/// A server that sends fixed bytes on each connection, and a client exchange with it.
struct client_fixture
{
    explicit client_fixture(std::string response)
        : text(std::move(response))
    {}

    /// Sends one request, to which the server sends the fixed bytes and then closes the connection
    /// if `is_closing` is set.
    void exchange(bool is_closing, std::function<bool(response_head const&)> accept = {})
    {
        raw = std::make_unique<raw_listener>(loop, text, is_closing);
        connection = std::make_unique<outbound_connection>(loop, raw->address());
        outbound_connection::exchange_callbacks callbacks;
        callbacks.on_head = [this, accept](response_head const& it)
        {
            heads.push_back(it);
            return !accept || accept(it);
        };
        callbacks.on_body = [this](std::string_view data) { body += data; };
        callbacks.on_end = [this](exchange_outcome it) { outcome = it; };
        connection->send("GET", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", std::move(callbacks));
        loop.run_until([this] { return outcome.has_value(); });
    }

    struct raw_listener
    {
        raw_listener(event_loop& owner, std::string const& response, bool is_closing)
            : loop(owner)
        {
            fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
            auto any = *socket_address::parse("127.0.0.1:0");
            bind(fd, any.native(), any.size());
            listen(fd, 4);
            watch = loop.watch(
                fd,
                [this, response, is_closing]
                {
                    int const accepted = accept4(fd, nullptr, nullptr, SOCK_NONBLOCK);
                    byte_stream::callbacks hooks;
                    hooks.on_data = [this, response, is_closing](std::string_view)
                    {
                        stream->write(response);
                        if (is_closing)
                            loop.after(duration(20), [this] { stream.reset(); });
                    };
                    stream = byte_stream::adopt(loop, accepted, std::move(hooks));
                });
        }
        ~raw_listener() { loop.unwatch(watch); }

        socket_address address() const { return socket_address::of_socket(fd); }

        event_loop& loop;
        int fd;
        st_h2o_socket_t* watch;
        std::unique_ptr<byte_stream> stream;
    };

    std::string text;
    event_loop loop;
    std::unique_ptr<raw_listener> raw;
    std::unique_ptr<outbound_connection> connection;
    std::vector<response_head> heads;
    std::string body;
    std::optional<exchange_outcome> outcome;
};

} // namespace almondcart::test_support
