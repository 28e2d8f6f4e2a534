#include "load_poller.hpp"

#include <almondcart/core/json.hpp>

#include <algorithm>
#include <utility>

namespace almondcart {

namespace {

constexpr duration load_timeout{1'000};
constexpr std::size_t body_limit_bytes = 65'536;

} // namespace

load_poller::load_poller(agent_settings const& settings, http_client& client)
    : settings_(settings)
    , client_(client)
{}

void load_poller::tick()
{
    if (settings_.kind != upstream_kind::engine || call_.is_active())
        return;
    body_.clear();
    http_request request;
    request.address = settings_.upstream_address;
    request.path = "/load";
    request.first_byte_timeout = load_timeout;
    request.idle_timeout = load_timeout;
    request.body_limit_bytes = body_limit_bytes;
    http_callbacks callbacks;
    callbacks.on_body = [this](std::string_view text) { body_ += text; };
    callbacks.on_done = [this](absl::Status const& status) { handle_response(status); };
    call_ = client_.request(std::move(request), std::move(callbacks));
}

void load_poller::handle_response(absl::Status const& status)
{
    queued_ = 0;
    auto const load = parse_json(body_);
    if (!status.ok() || !load.ok() || !load->isObject())
        return;
    auto const& queued = (*load)["queued"];
    if (queued.isInt())
        queued_ = std::max(0, queued.asInt());
}

} // namespace almondcart
