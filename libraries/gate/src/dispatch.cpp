#include <almondcart/core/count.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/gate/dispatch.hpp>
#include <almondcart/gate/usage_json.hpp>

namespace almondcart {

namespace {

/// Token limit of one request. It keeps sums of grant parts from overflowing.
constexpr token_count request_token_limit = 1'000'000'000;
constexpr std::size_t grant_limit = 1000;

void read_identity(json_reader& reader, dispatch& value)
{
    if (auto const agent = parse_process_id(reader.string("agent")))
        value.agent = *agent;
    else
        reader.fail("agent", "a process id \"name@incarnation\"");
    if (auto const request = parse_request_id(reader.string("request")))
        value.request = *request;
    else
        reader.fail("request", "a request id \"service/account#key\"");
    value.attempt = static_cast<int>(reader.integer("attempt", 1, 1'000'000));
    value.fingerprint = reader.string("fingerprint");
    value.intent_offset = reader.integer_or("intent_offset", -1, count_limit, -1);
    value.config_offset = reader.integer_or("config_offset", -1, count_limit, -1);
    value.from_frame = reader.integer_or("from_frame", 0, count_limit, 0);
}

void read_limits(json_reader& reader, dispatch& value)
{
    value.started_ms = reader.integer("started_ms", 0, count_limit);
    value.grants = read_grant_parts(reader, "grants");
    value.kind = reader.string("kind");
    value.is_idempotent = reader.boolean("idempotent");
    value.is_suspect = reader.boolean_or("suspect", false);
    value.prompt_tokens = reader.integer("prompt_tokens", 0, request_token_limit);
    value.output_cap = reader.integer("output_cap", 0, request_token_limit);
    value.priority =
        static_cast<int>(reader.integer("priority", 0, service_document::priority_limit));
    value.deadline_ms = reader.integer("deadline_ms", 0, count_limit);
}

void read_call(json_reader& reader, dispatch& value)
{
    value.is_stream = reader.boolean("stream");
    value.method = reader.string("method");
    value.path = reader.string("path");
    value.content_type = reader.string("content_type");
    value.body = reader.string("body");
}

} // namespace

token_count dispatch::reserved_tokens() const
{
    token_count sum = 0;
    for (auto const& part : grants)
        sum += part.tokens;
    return sum;
}

Json::Value to_json(dispatch const& value)
{
    Json::Value json;
    json["agent"] = to_text(value.agent);
    json["request"] = to_text(value.request);
    json["attempt"] = value.attempt;
    json["started_ms"] = Json::Int64(value.started_ms);
    json["grants"] = to_json(value.grants);
    json["kind"] = value.kind;
    json["idempotent"] = value.is_idempotent;
    json["suspect"] = value.is_suspect;
    json["prompt_tokens"] = Json::Int64(value.prompt_tokens);
    json["output_cap"] = Json::Int64(value.output_cap);
    json["priority"] = value.priority;
    json["deadline_ms"] = Json::Int64(value.deadline_ms);
    json["stream"] = value.is_stream;
    json["method"] = value.method;
    json["path"] = value.path;
    json["content_type"] = value.content_type;
    json["body"] = value.body;
    json["fingerprint"] = value.fingerprint;
    json["intent_offset"] = Json::Int64(value.intent_offset);
    json["config_offset"] = Json::Int64(value.config_offset);
    json["from_frame"] = Json::Int64(value.from_frame);
    return json;
}

absl::StatusOr<dispatch> parse_dispatch(Json::Value const& json)
{
    dispatch value;
    json_reader reader(json, "work", result_code::malformed_request);
    read_identity(reader, value);
    read_limits(reader, value);
    read_call(reader, value);
    for (auto const& part : value.grants)
    {
        if (part.tokens > request_token_limit)
            reader.fail("grants", "parts of at most 1000000000 tokens");
    }
    if (value.grants.size() > grant_limit)
        reader.fail("grants", "at most 1000 parts");
    if (auto const status = reader.finish(); !status.ok())
        return status;
    return value;
}

} // namespace almondcart
