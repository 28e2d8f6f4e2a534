#include "engine_client.hpp"

#include <almondcart/core/json.hpp>

#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "engine_response.hpp"

namespace almondcart {

namespace {

/// Creates the body for the engine. Returns nothing if the body that the client sent is not a JSON
/// object.
std::optional<std::string> try_create_body(dispatch const& work)
{
    auto body = parse_json(work.body);
    if (!body.ok() || !body->isObject())
        return std::nullopt;
    (*body)["stream"] = true;
    (*body)["stream_options"]["include_usage"] = true;
    (*body)["max_tokens"] = Json::Int64(work.output_cap);
    return to_compact_json(*body);
}

} // namespace

engine_client::engine_client(agent_settings const& settings, http_client& client)
    : settings_(settings)
    , client_(client)
    , buffers_(std::make_shared<buffer_budget>(settings.response_buffer_bytes()))
{}

void engine_client::start(std::uint64_t call, dispatch const& work, upstream_events events)
{
    auto request = create_upstream_request(
        work, settings_.upstream_address, settings_.first_byte_timeout, settings_.idle_timeout);
    request.headers.emplace_back("Accept", "text/event-stream");
    request.headers.emplace_back("Priority", std::to_string(work.priority));
    // The router has already validated the body. If it is invalid nevertheless, the engine reports
    // the error.
    if (auto body = try_create_body(work))
        request.body = std::move(*body);
    auto const response = std::make_shared<engine_response>(
        std::move(events), static_cast<std::size_t>(settings_.answer_limit_bytes), buffers_);
    http_callbacks callbacks;
    callbacks.on_headers = [response](http_response_head const& head)
    { response->read_head(head); };
    callbacks.on_body = [this, call, response](std::string_view text)
    {
        if (response->read_body(text))
            return;
        calls_.cancel(call);
        response->end_too_large();
    };
    callbacks.on_done = [response](absl::Status const& status) { response->end(status); };
    calls_.start(client_, call, std::move(request), std::move(callbacks));
}

std::string create_length_chunk()
{
    Json::Value chunk;
    chunk["object"] = "chat.completion.chunk";
    Json::Value choice;
    choice["index"] = 0;
    choice["delta"] = Json::objectValue;
    choice["finish_reason"] = "length";
    chunk["choices"].append(std::move(choice));
    return to_compact_json(chunk);
}

} // namespace almondcart
