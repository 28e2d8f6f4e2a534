#pragma once

#include <almondcart/http/http_server.hpp>

#include <map>
#include <memory>
#include <string>

namespace almondcart {

/// Stand-in for a service whose calls are not idempotent. Counts the executions of each idempotency
/// key and responds with the key and its count.
class service_standin
{
public:
    service_standin(event_loop& loop, http_server& server, duration delay);

private:
    void handle_call(std::shared_ptr<http_exchange> const& exchange);
    void respond_stats(http_exchange& exchange) const;

    event_loop& loop_;
    duration delay_;
    std::map<std::string, int> executions_;
};

} // namespace almondcart
