#pragma once

#include <almondcart/http/http_client.hpp>

#include <string>

#include "agent_settings.hpp"

namespace almondcart {

/// Polls `GET /load` of an engine. The reports lag behind, so routers correct them by their own
/// counts.
class load_poller
{
public:
    /// The references must outlive this object and its calls.
    load_poller(agent_settings const& settings, http_client& client);

    /// Sends a request unless one is in flight. Plain services are not polled.
    void tick();

    /// Requests that are queued in the engine, or 0 if unknown.
    int queued() const { return queued_; }

private:
    void handle_response(absl::Status const& status);

    agent_settings const& settings_;
    http_client& client_;
    http_call call_;
    std::string body_;
    int queued_ = 0;
};

} // namespace almondcart
