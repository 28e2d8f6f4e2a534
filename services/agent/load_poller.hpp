#pragma once

#include <almondcart/http/http_client.hpp>

#include <string>

#include "agent_settings.hpp"

namespace almondcart {

/// Asks an engine for `GET /load`. Its reports lag, so routers correct them by their own counts.
class load_poller
{
public:
    /// The references must outlive this object and its calls.
    load_poller(agent_settings const& settings, http_client& client);

    /// Sends a question if none is under way. Plain services are not asked.
    void tick();

    /// Requests that wait in the engine, 0 if unknown.
    int queued() const { return queued_; }

private:
    void take(absl::Status const& status);

    agent_settings const& settings_;
    http_client& client_;
    http_call call_;
    std::string body_;
    int queued_ = 0;
};

} // namespace almondcart
