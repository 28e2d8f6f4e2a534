#pragma once

#include <almondcart/core/identifiers.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/document/service_document.hpp>

#include <absl/status/statusor.h>
#include <json/json.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace almondcart {

/// Number of tokens. Never negative in a valid record.
using token_count = std::int64_t;

/// Largest token count in one record. Sums of thousands of such counts fit in 64 bits.
inline constexpr token_count token_count_limit = 1'000'000'000'000'000;

/// Tokens under one grant.
struct grant_part
{
    grant_id grant;
    token_count tokens = 0;

    friend bool operator==(grant_part const&, grant_part const&) = default;
};

/// Tokens that one request used. Billed once per request id.
struct usage_item
{
    request_id request;
    std::int64_t started_ms = 0; ///< newest log time known to the router at dispatch
    std::vector<grant_part> parts;

    friend bool operator==(usage_item const&, usage_item const&) = default;
};

/// Publishes version `base_version` + 1 of a service's document.
struct publish_record
{
    std::string service;
    std::int64_t base_version = 0;
    Json::Value document;
    std::string author;
};

/// Reports an upstream crash for which a request with this fingerprint is the cause or a suspect.
struct crash_report_record
{
    std::string fingerprint;
    std::string upstream;
    std::string agent; ///< process id text
    request_id request;
};

/// Sets the cumulative total of a budget, as of a document version.
struct limit_record
{
    budget_id budget;
    token_count total_tokens = 0;
    budget_preference preference = budget_preference::false_refusals;
    std::int64_t document_version = 0;
};

/// Draws part of a budget for the writer.
struct grant_record
{
    budget_id budget;
    token_count tokens = 0;
    std::int64_t demand_tokens_per_s = 0;
};

/// Returns unused tokens of a grant to its budget.
struct return_record
{
    grant_id grant;
    token_count tokens = 0;
};

struct usage_record
{
    std::vector<usage_item> items;
};

/// Closes a grant, after which no new work may run under it.
struct close_record
{
    grant_id grant;
    std::string reason;
};

/// Releases the unbilled tokens of a closed grant, based on the agents' reports.
struct recover_record
{
    grant_id grant;
    std::vector<process_id> reports;
};

struct agent_start_record
{
    process_id agent;
    std::string upstream;
};

struct agent_stop_record
{
    process_id agent;
};

/// Records the intent to run a non-idempotent request once on `agent`, before it is dispatched.
struct intent_record
{
    request_id request;
    int attempt = 1;
    process_id agent;
    std::string fingerprint;
    std::int64_t started_ms = 0;
};

/// Voids an attempt after the agent proved that it did not run and cannot run.
struct void_record
{
    request_id request;
    int attempt = 1;
};

enum class outcome_state
{
    completed,
    unknown,
};

std::string_view name_of(outcome_state state);

struct outcome_record
{
    request_id request;
    int attempt = 1;
    outcome_state state = outcome_state::unknown;
    int status = 0;
    std::string content_type;
    std::string body;
};

using record_body = std::variant<
    publish_record,
    crash_report_record,
    limit_record,
    grant_record,
    return_record,
    usage_record,
    close_record,
    recover_record,
    agent_start_record,
    agent_stop_record,
    intent_record,
    void_record,
    outcome_record>;

/// Record of one stream, identified by (`writer`, `sequence`). Repeats are not applied.
struct log_record
{
    process_id writer;
    std::int64_t sequence = 0; ///< increases per writer, over all streams
    record_body body;
    /// Lamport time of the writer, so that timelines order the readers' events after it. Not part
    /// of the folded state.
    std::uint64_t logical_time = 0;
};

/// Record as read back from a stream.
struct stored_record
{
    std::int64_t offset = 0;
    std::int64_t time_ms = 0; ///< log time of the append
    log_record record;
};

/// Value of the member `type`, for example "grant".
std::string_view type_name(record_body const& body);

/// Stream that a record belongs to: "config" or "budget-N". Empty for `agent_start_record` and
/// `agent_stop_record`, which are appended to every shard, and for a usage record without items.
/// The items of one usage record must belong to one shard.
std::string stream_of(record_body const& body);

std::string const& config_stream();
std::string budget_stream(int shard);
std::string checkpoint_stream(std::string_view stream);

Json::Value to_json(log_record const& record);

/// JSON forms that messages between processes share with log records.
Json::Value to_json(grant_part const& part);
Json::Value to_json(usage_item const& item);

/// Reads the members of an item. Errors are set on the reader.
grant_part read_grant_part(json_reader& reader);
usage_item read_usage_item(json_reader& reader);

/// Errors carry `malformed_request`.
absl::StatusOr<log_record> parse_record(Json::Value const& value);

} // namespace almondcart
