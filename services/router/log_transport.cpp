#include "log_transport.hpp"

#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>

#include <memory>
#include <utility>

namespace almondcart {

namespace {

constexpr duration append_timeout{2'000};

/// Added to the time for which the log service may hold a read.
constexpr duration read_grace{2'000};

constexpr int http_ok = 200;

struct exchange_state
{
    int status = 0;
    std::string body;
};

} // namespace

log_transport::log_transport(http_client& client, std::string address)
    : client_(client)
    , address_(std::move(address))
{}

void log_transport::append(Json::Value const& message, callback done)
{
    post("/v1/append", message, append_timeout, std::move(done));
}

void log_transport::read(Json::Value const& message, callback done)
{
    duration const wait(message["wait_ms"].asInt64());
    post("/v1/read", message, wait + read_grace, std::move(done));
}

void log_transport::post(
    std::string const& path,
    Json::Value const& message,
    duration timeout,
    callback done)
{
    http_request request;
    request.address = address_;
    request.method = "POST";
    request.path = path;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = to_compact_json(message);
    request.first_byte_timeout = timeout;
    request.idle_timeout = timeout;

    auto const state = std::make_shared<exchange_state>();
    http_callbacks callbacks;
    callbacks.on_headers = [state](http_response_head const& head) { state->status = head.status; };
    callbacks.on_body = [state](std::string_view data) { state->body += data; };
    callbacks.on_done = [state, done = std::move(done)](absl::Status const& status)
    {
        if (!status.ok())
            done(status);
        else if (state->status != http_ok)
            done(make_status(
                result_code::log_unavailable,
                "the log answered with status " + std::to_string(state->status)));
        else
            done(parse_json(state->body));
    };
    client_.request(std::move(request), std::move(callbacks));
}

} // namespace almondcart
