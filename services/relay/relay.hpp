#pragma once

#include <almondcart/http/http_client.hpp>
#include <almondcart/http/http_server.hpp>
#include <almondcart/http/metrics.hpp>
#include <almondcart/platform/store_relay.hpp>

#include <absl/status/statusor.h>

#include <memory>

#include "load_board.hpp"
#include "relay_settings.hpp"

namespace almondcart {

/// The relay process beside an upstream: passes calls of gateways on to the platform's store.
class relay
{
public:
    static absl::StatusOr<std::unique_ptr<relay>> create(relay_settings settings);

    /// Runs until a stop signal. Calls in progress then get their responses.
    void run();

private:
    explicit relay(relay_settings settings);

    absl::Status listen();
    void begin_stop();

    relay_settings settings_;
    event_loop loop_;
    http_client client_;
    metrics metrics_;
    platform::store_relay store_;
    load_board load_;
    std::unique_ptr<http_server> server_;
    bool is_stopping_ = false;
};

} // namespace almondcart
