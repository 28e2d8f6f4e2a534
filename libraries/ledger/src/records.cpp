#include <almondcart/core/count.hpp>
#include <almondcart/core/json_members.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/ledger/identifier_json.hpp>
#include <almondcart/ledger/records.hpp>

#include <array>
#include <utility>

namespace almondcart {

namespace {

using detail::read_budget_id;
using detail::read_grant_id;
using detail::read_process_id;
using detail::read_process_ids;
using detail::read_request_id;

constexpr int attempt_limit = 1'000'000;

/// In the order of `record_body`.
constexpr std::array<std::string_view, std::variant_size_v<record_body>> type_names = {
    "publish",
    "crash_report",
    "limit",
    "grant",
    "return",
    "usage",
    "close",
    "recover",
    "agent_start",
    "agent_stop",
    "intent",
    "void",
    "outcome"};

constexpr std::array<std::string_view, 2> outcome_state_names = {"completed", "unknown"};

void write(publish_record const& body, Json::Value& value)
{
    value["service"] = body.service;
    value["base_version"] = Json::Int64(body.base_version);
    value["document"] = body.document;
    value["author"] = body.author;
}

void write(crash_report_record const& body, Json::Value& value)
{
    value["fingerprint"] = body.fingerprint;
    value["upstream"] = body.upstream;
    value["agent"] = body.agent;
    value["request"] = to_text(body.request);
}

void write(limit_record const& body, Json::Value& value)
{
    value["budget"] = to_text(body.budget);
    value["total_tokens"] = Json::Int64(body.total_tokens);
    value["preference"] = std::string(name_of(body.preference));
    value["document_version"] = Json::Int64(body.document_version);
}

void write(grant_record const& body, Json::Value& value)
{
    value["budget"] = to_text(body.budget);
    value["tokens"] = Json::Int64(body.tokens);
    value["demand_tokens_per_s"] = Json::Int64(body.demand_tokens_per_s);
}

void write(return_record const& body, Json::Value& value)
{
    value["grant"] = to_text(body.grant);
    value["tokens"] = Json::Int64(body.tokens);
}

void write(usage_record const& body, Json::Value& value)
{
    value["items"] = Json::Value(Json::arrayValue);
    for (auto const& item : body.items)
        value["items"].append(to_json(item));
}

void write(close_record const& body, Json::Value& value)
{
    value["grant"] = to_text(body.grant);
    value["reason"] = body.reason;
}

void write(recover_record const& body, Json::Value& value)
{
    value["grant"] = to_text(body.grant);
    value["reports"] = Json::Value(Json::arrayValue);
    for (auto const& id : body.reports)
        value["reports"].append(to_text(id));
}

void write(agent_start_record const& body, Json::Value& value)
{
    value["agent"] = to_text(body.agent);
    value["upstream"] = body.upstream;
}

void write(agent_stop_record const& body, Json::Value& value)
{
    value["agent"] = to_text(body.agent);
}

void write(intent_record const& body, Json::Value& value)
{
    value["request"] = to_text(body.request);
    value["attempt"] = body.attempt;
    value["agent"] = to_text(body.agent);
    value["fingerprint"] = body.fingerprint;
    value["started_ms"] = Json::Int64(body.started_ms);
}

void write(void_record const& body, Json::Value& value)
{
    value["request"] = to_text(body.request);
    value["attempt"] = body.attempt;
}

void write(outcome_record const& body, Json::Value& value)
{
    value["request"] = to_text(body.request);
    value["attempt"] = body.attempt;
    value["state"] = std::string(name_of(body.state));
    value["status"] = body.status;
    value["content_type"] = body.content_type;
    value["body"] = body.body;
}

int read_attempt(json_reader& reader)
{
    return static_cast<int>(reader.integer("attempt", 1, attempt_limit));
}

record_body read_publish(json_reader& reader)
{
    publish_record body;
    body.service = read_name(reader, "service");
    body.base_version = reader.integer("base_version", 0, count_limit);
    body.document = reader.value_or_null("document");
    body.author = reader.string("author");
    return body;
}

record_body read_crash_report(json_reader& reader)
{
    crash_report_record body;
    body.fingerprint = reader.string("fingerprint");
    body.upstream = reader.string("upstream");
    body.agent = to_text(read_process_id(reader, "agent"));
    body.request = read_request_id(reader, "request");
    return body;
}

record_body read_limit(json_reader& reader)
{
    limit_record body;
    body.budget = read_budget_id(reader, "budget");
    body.total_tokens = reader.integer("total_tokens", 0, token_count_limit);
    body.preference = read_budget_preference(reader, reader.string("preference"));
    body.document_version = reader.integer("document_version", 1, count_limit);
    return body;
}

record_body read_grant(json_reader& reader)
{
    grant_record body;
    body.budget = read_budget_id(reader, "budget");
    body.tokens = reader.integer("tokens", 1, token_count_limit);
    body.demand_tokens_per_s = reader.integer("demand_tokens_per_s", 0, token_count_limit);
    return body;
}

record_body read_return(json_reader& reader)
{
    return_record body;
    body.grant = read_grant_id(reader, "grant");
    body.tokens = reader.integer("tokens", 1, token_count_limit);
    return body;
}

record_body read_usage(json_reader& reader)
{
    usage_record body;
    reader.objects(
        "items", [&body](json_reader& it) { body.items.push_back(read_usage_item(it)); });
    return body;
}

record_body read_close(json_reader& reader)
{
    close_record body;
    body.grant = read_grant_id(reader, "grant");
    body.reason = reader.string("reason");
    return body;
}

record_body read_recover(json_reader& reader)
{
    recover_record body;
    body.grant = read_grant_id(reader, "grant");
    body.reports = read_process_ids(reader, "reports");
    return body;
}

record_body read_agent_start(json_reader& reader)
{
    agent_start_record body;
    body.agent = read_process_id(reader, "agent");
    body.upstream = reader.string("upstream");
    return body;
}

record_body read_agent_stop(json_reader& reader)
{
    return agent_stop_record{read_process_id(reader, "agent")};
}

record_body read_intent(json_reader& reader)
{
    intent_record body;
    body.request = read_request_id(reader, "request");
    body.attempt = read_attempt(reader);
    body.agent = read_process_id(reader, "agent");
    body.fingerprint = reader.string("fingerprint");
    body.started_ms = reader.integer("started_ms", 0, count_limit);
    return body;
}

record_body read_void(json_reader& reader)
{
    void_record body;
    body.request = read_request_id(reader, "request");
    body.attempt = read_attempt(reader);
    return body;
}

record_body read_outcome(json_reader& reader)
{
    constexpr int http_status_limit = 599;
    outcome_record body;
    body.request = read_request_id(reader, "request");
    body.attempt = read_attempt(reader);
    std::string const state = reader.string("state");
    if (state == name_of(outcome_state::completed))
        body.state = outcome_state::completed;
    else if (state != name_of(outcome_state::unknown))
        reader.fail("state", "\"completed\" or \"unknown\"");
    body.status = static_cast<int>(reader.integer("status", 0, http_status_limit));
    body.content_type = reader.string("content_type");
    body.body = reader.string("body");
    return body;
}

using body_reader = record_body (*)(json_reader&);

/// In the order of `record_body`.
constexpr std::array<body_reader, std::variant_size_v<record_body>> body_readers = {
    read_publish,
    read_crash_report,
    read_limit,
    read_grant,
    read_return,
    read_usage,
    read_close,
    read_recover,
    read_agent_start,
    read_agent_stop,
    read_intent,
    read_void,
    read_outcome};

std::string budget_stream_of(account_id const& account)
{
    return budget_stream(shard_of(account));
}

std::string stream_for(publish_record const&)
{
    return config_stream();
}

std::string stream_for(crash_report_record const&)
{
    return config_stream();
}

std::string stream_for(usage_record const& body)
{
    return body.items.empty() ? std::string()
                              : budget_stream_of(body.items.front().request.account);
}

std::string stream_for(agent_start_record const&)
{
    return {};
}

std::string stream_for(agent_stop_record const&)
{
    return {};
}

template<typename Body>
std::string stream_for(Body const& body)
{
    if constexpr (requires { body.budget; })
        return budget_stream_of(body.budget.account);
    else if constexpr (requires { body.grant; })
        return budget_stream(body.grant.shard);
    else
        return budget_stream_of(body.request.account);
}

} // namespace

std::string_view name_of(outcome_state state)
{
    return outcome_state_names.at(static_cast<std::size_t>(state));
}

std::string_view type_name(record_body const& body)
{
    return type_names.at(body.index());
}

std::string stream_of(record_body const& body)
{
    return std::visit([](auto const& it) { return stream_for(it); }, body);
}

std::string const& config_stream()
{
    static std::string const name = "config";
    return name;
}

std::string budget_stream(int shard)
{
    return "budget-" + std::to_string(shard);
}

std::string checkpoint_stream(std::string_view stream)
{
    return std::string(stream) + ".checkpoint";
}

Json::Value to_json(grant_part const& part)
{
    Json::Value value(Json::objectValue);
    value["grant"] = to_text(part.grant);
    value["tokens"] = Json::Int64(part.tokens);
    return value;
}

Json::Value to_json(usage_item const& item)
{
    Json::Value value(Json::objectValue);
    value["request"] = to_text(item.request);
    value["started_ms"] = Json::Int64(item.started_ms);
    value["parts"] = Json::Value(Json::arrayValue);
    for (auto const& part : item.parts)
        value["parts"].append(to_json(part));
    return value;
}

grant_part read_grant_part(json_reader& reader)
{
    grant_part part;
    part.grant = read_grant_id(reader, "grant");
    part.tokens = reader.integer("tokens", 0, token_count_limit);
    return part;
}

usage_item read_usage_item(json_reader& reader)
{
    usage_item item;
    item.request = read_request_id(reader, "request");
    item.started_ms = reader.integer("started_ms", 0, count_limit);
    reader.objects(
        "parts", [&item](json_reader& it) { item.parts.push_back(read_grant_part(it)); });
    return item;
}

Json::Value to_json(log_record const& record)
{
    Json::Value value(Json::objectValue);
    value["type"] = std::string(type_name(record.body));
    value["writer"] = to_text(record.writer);
    value["sequence"] = Json::Int64(record.sequence);
    if (record.logical_time > 0)
        value["logical_time"] = Json::UInt64(record.logical_time);
    std::visit([&value](auto const& body) { write(body, value); }, record.body);
    return value;
}

absl::StatusOr<log_record> parse_record(Json::Value const& value)
{
    json_reader reader(value, "log record", result_code::malformed_request);
    std::string const type = reader.string("type");
    for (std::size_t i = 0; i < type_names.size(); ++i)
    {
        if (type_names.at(i) != type)
            continue;
        log_record record;
        record.writer = read_process_id(reader, "writer");
        record.sequence = reader.integer("sequence", 0, count_limit);
        record.logical_time =
            static_cast<std::uint64_t>(reader.integer_or("logical_time", 0, count_limit, 0));
        record.body = body_readers.at(i)(reader);
        if (auto status = reader.finish(); !status.ok())
            return status;
        return record;
    }
    return make_status(result_code::malformed_request, "log record: unknown type \"" + type + "\"");
}

} // namespace almondcart
