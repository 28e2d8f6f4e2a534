#pragma once

#include <almondcart/http/http_server.hpp>

#include <map>
#include <memory>
#include <string>

namespace almondcart {

/// Stand-in for a plain service whose calls must not be repeated: counts the executions of each
/// request key, and answers with the key and its count.
class service_standin
{
public:
    service_standin(event_loop& loop, http_server& server, duration delay);

private:
    void execute(std::shared_ptr<http_exchange> const& exchange);
    void respond_stats(http_exchange& exchange) const;

    event_loop& loop_;
    duration delay_;
    std::map<std::string, int> executions_;
};

} // namespace almondcart
