#pragma once

#include <almondcart/http/http_client.hpp>

#include <h2o.h>

#include <map>
#include <memory>
#include <set>
#include <string>

#include "connection_pool.hpp"

namespace almondcart {

/// Connection pools and requests in progress of an `http_client`.
struct http_client::state
{
    explicit state(event_loop& event_loop);
    ~state();
    state(state const&) = delete;
    state& operator=(state const&) = delete;

    void remove(detail::client_call const* call);
    std::shared_ptr<detail::connection_pool> pool_for(std::string const& address);
    void remove_idle_pools();
    void check_heads();

    event_loop& loop;
    h2o_timeout_t io_timeout{};
    h2o_http1client_ctx_t context{};
    std::map<std::string, std::shared_ptr<detail::connection_pool>> pools;
    std::map<detail::client_call const*, std::shared_ptr<detail::client_call>> calls;
    std::set<detail::client_call*> awaiting_head; ///< calls that were sent
    timer idle_pool_timer;
};

} // namespace almondcart
