#pragma once

#include <almondcart/http/http_exchange.hpp>

#include <h2o.h>

#include <cstdint>
#include <memory>
#include <string>

namespace almondcart::detail {

class inbound_connection;
class server_core;

/// Links an h2o request to its exchange. Allocated in the memory pool of the request, so it is
/// destroyed when h2o releases the request.
struct exchange_link
{
    h2o_generator_t generator; ///< first member: h2o's callbacks receive its address
    h2o_req_t* request;
    std::shared_ptr<server_core> core;
    std::weak_ptr<http_exchange> exchange;
    std::shared_ptr<http_exchange> started_exchange; ///< keeps it alive while the response is sent
    std::string in_flight;                           ///< data that h2o is sending
    bool is_sending;
    int fd;
    std::uint64_t id;
    std::shared_ptr<inbound_connection> connection;
    std::size_t copied_bytes; ///< of the request's body

    static exchange_link& create(
        h2o_req_t* request,
        std::shared_ptr<server_core> core,
        std::shared_ptr<http_exchange> const&);

    void begin(int status, http_headers const& headers, std::size_t content_length);
    void send(h2o_send_state_t state);

    /// Bytes of the request's body and of the response that this process holds.
    std::size_t held_bytes() const;

    /// Whether a part of the response waits until the client takes it.
    bool is_awaiting_client() const;

    /// Closes the connection.
    void close() const;

    ~exchange_link();
};

} // namespace almondcart::detail
