#include "upstream_probe.hpp"

#include <spdlog/spdlog.h>

#include <utility>

namespace almondcart {

namespace {

constexpr duration probe_timeout{1'000};
constexpr std::size_t body_limit_bytes = 65'536;

} // namespace

upstream_probe::upstream_probe(
    agent_settings const& settings,
    http_client& client,
    upstream_crash_monitor& monitor)
    : settings_(settings)
    , client_(client)
    , monitor_(monitor)
{}

void upstream_probe::tick()
{
    if (!monitor_.is_down() || call_.is_active())
        return;
    http_request request;
    request.address = settings_.upstream_address;
    request.path = "/healthz";
    request.first_byte_timeout = probe_timeout;
    request.idle_timeout = probe_timeout;
    request.body_limit_bytes = body_limit_bytes;
    request.is_connection_reusable = false;
    http_callbacks callbacks;
    callbacks.on_done = [this](absl::Status const& status)
    {
        if (!status.ok())
            return;
        spdlog::info("[gate] upstream {} answers again", settings_.upstream);
        monitor_.probe_answered();
    };
    call_ = client_.request(std::move(request), std::move(callbacks));
}

} // namespace almondcart
