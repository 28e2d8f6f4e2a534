#pragma once

#include <almondcart/http/http_server.hpp>

#include <json/json.h>

namespace almondcart {

/// Stand-in for the platform's VM list, whose changes become visible after a lag. `POST /v1/vms`
/// replaces the list with `{"vms":[..]}`; `GET /v1/vms` returns the visible list.
class vmlist_standin
{
public:
    vmlist_standin(event_loop& loop, http_server& server, duration lag);

private:
    void handle_replace(http_exchange& exchange);

    event_loop& loop_;
    duration lag_;
    Json::Value visible_;
};

} // namespace almondcart
