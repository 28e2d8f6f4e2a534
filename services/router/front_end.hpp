#pragma once

#include <almondcart/http/http_server.hpp>

#include <functional>
#include <memory>
#include <set>

#include "client_request.hpp"
#include "request_session.hpp"
#include "router_context.hpp"

namespace almondcart {

/// HTTP interface for clients. Validates each request and runs a session for it.
class front_end
{
public:
    /// `is_ready` returns whether the state has caught up with the log. All arguments must outlive
    /// the front end.
    front_end(router_context& context, http_server& server, std::function<bool()> is_ready);

    /// Refuses new requests; requests in progress continue.
    void begin_shutdown() { is_shutting_down_ = true; }

    std::size_t session_count() const { return sessions_.size(); }

private:
    void serve(std::shared_ptr<http_exchange> const& exchange);
    std::unique_ptr<request_session>
    create_session(client_request request, std::shared_ptr<http_exchange> exchange);

    router_context& context_;
    std::function<bool()> is_ready_;
    std::set<std::shared_ptr<request_session>> sessions_;
    bool is_shutting_down_ = false;
};

} // namespace almondcart
