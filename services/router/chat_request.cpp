#include "chat_request.hpp"

#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>

#include <algorithm>

namespace almondcart {

namespace {

/// Tokens that a chat template adds to each message for its role and separators.
constexpr token_count tokens_per_message = 16;

/// Length of the prefix used for affinity: prompts that agree in this many bytes share cached
/// prefix blocks on an upstream.
constexpr std::size_t prefix_bytes = 1024;

absl::Status malformed(std::string_view detail)
{
    return make_status(result_code::malformed_request, detail);
}

/// Returns the content of a message as text: a string unchanged, an array of parts as JSON.
std::string text_of(Json::Value const& content)
{
    if (content.isString())
        return content.asString();
    return to_compact_json(content);
}

absl::Status read_messages(Json::Value const& messages, chat_request& request)
{
    if (!messages.isArray() || messages.empty())
        return malformed("member \"messages\": expected an array with at least one message");
    for (auto const& message : messages)
    {
        if (!message.isObject() || !message["role"].isString() || !message.isMember("content"))
            return malformed("member \"messages\": expected objects with \"role\" and \"content\"");
        auto const text = text_of(message["content"]);
        // A byte-level tokenizer yields at most one token for each byte.
        request.prompt_bound += static_cast<token_count>(text.size()) + tokens_per_message;
        if (request.prefix.size() < prefix_bytes)
            request.prefix += text.substr(0, prefix_bytes - request.prefix.size());
    }
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<chat_request> chat_request::parse(std::string_view body, token_count kind_output_cap)
{
    auto const value = parse_json(body);
    if (!value.ok())
        return value.status();
    if (!value->isObject())
        return malformed("the body must be a JSON object");
    chat_request request;
    if (!(*value)["model"].isString())
        return malformed("member \"model\": expected a string");
    request.model = (*value)["model"].asString();
    if (auto status = read_messages((*value)["messages"], request); !status.ok())
        return status;
    if (value->isMember("stream") && !(*value)["stream"].isBool())
        return malformed("member \"stream\": expected true or false");
    request.is_stream = value->isMember("stream") && (*value)["stream"].asBool();
    request.output_cap = kind_output_cap;
    if (value->isMember("max_tokens"))
    {
        auto const& limit = (*value)["max_tokens"];
        if (!limit.isInt64() || limit.asInt64() < 1)
            return malformed("member \"max_tokens\": expected a positive integer");
        request.output_cap = std::min<token_count>(limit.asInt64(), kind_output_cap);
    }
    return request;
}

} // namespace almondcart
