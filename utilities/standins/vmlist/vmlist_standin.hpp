#pragma once

#include <almondcart/http/http_server.hpp>

#include <json/json.h>

namespace almondcart {

/// Stand-in for the platform's list of VMs, which shows changes late. `POST /v1/vms` replaces the
/// list by `{"vms":[..]}`; `GET /v1/vms` shows it after the lag.
class vmlist_standin
{
public:
    vmlist_standin(event_loop& loop, http_server& server, duration lag);

private:
    void replace(http_exchange& exchange);

    event_loop& loop_;
    duration lag_;
    Json::Value visible_;
};

} // namespace almondcart
