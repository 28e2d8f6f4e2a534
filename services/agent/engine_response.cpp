#include "engine_response.hpp"

#include <almondcart/core/json.hpp>

#include <string>
#include <utility>

#include "call_table.hpp"

namespace almondcart {

namespace {

std::optional<token_count> read_count(Json::Value const& usage, char const* name)
{
    auto const& count = usage[name];
    return count.isInt64() ? std::optional<token_count>(count.asInt64()) : std::nullopt;
}

/// Engines send one token per chunk. Chunks without text, for example with the role, contain none.
token_count count_tokens(Json::Value const& choices)
{
    auto const& choice = choices[0];
    if (!choice.isObject() || !choice["delta"].isObject())
        return 0;
    auto const& content = choice["delta"]["content"];
    return content.isString() && !content.asString().empty() ? 1 : 0;
}

} // namespace

engine_response::engine_response(
    upstream_events events,
    std::size_t answer_limit_bytes,
    std::shared_ptr<buffer_budget> buffers)
    : events_(std::move(events))
    , limit_bytes_(answer_limit_bytes)
    , account_(std::move(buffers))
    , event_parser_([this](std::string const& data) { read_event(data); })
{}

void engine_response::read_head(http_response_head const& head)
{
    response_.status = head.status;
    response_.content_type = find_header(head.headers, "content-type").value_or("");
}

bool engine_response::read_body(std::string_view text)
{
    if (is_stream())
        event_parser_.add(text);
    else
        response_.data += text;
    auto const held = is_stream() ? event_parser_.pending_bytes() : response_.data.size();
    account_.resize(held);
    return held <= limit_bytes_ && account_.allows(held);
}

void engine_response::end_too_large() const
{
    events_.failed("the response exceeds the size limit", call_failure::incomplete);
}

void engine_response::read_event(std::string const& data)
{
    if (data == "[DONE]")
    {
        is_complete_ = true;
        return;
    }
    auto chunk = parse_json(data);
    if (!chunk.ok() || !chunk->isObject())
        return;
    if ((*chunk)["usage"].isObject())
    {
        response_.prompt_tokens = read_count((*chunk)["usage"], "prompt_tokens");
        response_.output_tokens = read_count((*chunk)["usage"], "completion_tokens");
        is_complete_ = true;
    }
    auto const& choices = (*chunk)["choices"];
    if (!choices.isArray() || choices.empty())
        return;
    auto const tokens = count_tokens(choices);
    // Clients receive the billed usage, which is in the final frame.
    chunk->removeMember("usage");
    events_.output(to_compact_json(*chunk), tokens);
}

void engine_response::end(absl::Status const& status)
{
    if (!status.ok())
    {
        report_error(status, events_);
        return;
    }
    if (is_stream() && !is_complete_)
    {
        events_.failed("the engine ended its response early", call_failure::incomplete);
        return;
    }
    if (!is_stream())
    {
        // An error response contains no billable tokens.
        response_.prompt_tokens = 0;
        response_.output_tokens = 0;
    }
    events_.finished(std::move(response_));
}

} // namespace almondcart
