#pragma once

#include <almondcart/http/http_server.hpp>
#include <almondcart/http/socket_address.hpp>

#include <h2o.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace almondcart::detail {

class inbound_connection;
struct exchange_link;

/// Implementation of an `http_server`. Outlives it until h2o has released all connections.
class server_core : public std::enable_shared_from_this<server_core>
{
public:
    server_core(event_loop& loop, http_server_settings settings, socket_address address);
    ~server_core();
    server_core(server_core const&) = delete;
    server_core& operator=(server_core const&) = delete;

    absl::Status open_listener();
    void close_listener();
    void drop_connections();
    void stop(std::function<void()> done);

    /// Closes the listener and all connections when the server is destroyed.
    void shut_down();

    void add_route(std::string method, std::string prefix, http_server::handler handle);
    void add(exchange_link& link);
    void remove(exchange_link const& link);
    void remove_connection(h2o_socket_t* socket);

    /// Lets the connection replace h2o's read callback once h2o has set it, at the latest after a
    /// few milliseconds.
    void watch_reads_later(std::weak_ptr<inbound_connection> connection);

    std::shared_ptr<connection_limiter> const& limiter() const { return settings_.limiter; }

    event_loop& loop() const { return loop_; }
    bool is_stopping() const { return is_stopping_; }
    socket_address const& address() const { return address_; }
    std::size_t connection_count() const { return connections_.size(); }
    std::size_t exchange_count() const { return links_.size(); }

private:
    struct route_entry
    {
        std::string method;
        std::string prefix;
        http_server::handler handle;
    };

    struct request_handler
    {
        h2o_handler_t super;
        server_core* core;
    };

    void accept_connections();
    void handle_request(h2o_req_t* request);
    void dispatch(std::shared_ptr<http_exchange> const& exchange);
    void handle_disconnects();
    void watch_reads();
    void check_progress();
    void check_stopped();

    event_loop& loop_;
    http_server_settings settings_;
    socket_address address_;
    h2o_globalconf_t configuration_{};
    h2o_context_t context_{};
    h2o_accept_ctx_t accept_context_{};
    h2o_socket_t* listener_ = nullptr;
    int listener_fd_ = -1;
    int disconnect_fd_ = -1; ///< epoll descriptor that reports closed client connections
    h2o_socket_t* disconnect_watch_ = nullptr;
    std::vector<route_entry> routes_;
    std::set<h2o_socket_t*> connections_;
    std::vector<std::weak_ptr<inbound_connection>> unwatched_;
    timer progress_timer_;
    std::map<std::uint64_t, exchange_link*> links_;
    std::uint64_t next_link_id_ = 1;
    bool is_stopping_ = false;
    bool is_shut_down_ = false;
    std::function<void()> stopped_callback_;
};

} // namespace almondcart::detail
