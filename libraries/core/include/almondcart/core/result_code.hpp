#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace almondcart {

/// Whether an upstream executed a refused or failed request.
enum class execution_state
{
    no,
    yes,
    unknown,
};

/// Numbered result codes. docs/result-codes.md documents each code and how clients should react.
enum class result_code : int
{
    ok = 1000,
    malformed_request = 1101,
    body_too_large = 1102,
    unknown_account = 1103,
    unknown_service = 1104,
    unknown_kind = 1105,
    invalid_request_key = 1106,
    request_key_reused = 1107,
    unknown_model = 1108,
    request_key_required = 1109,
    unknown_budget = 1110,
    budget_exhausted = 1201,
    budget_unavailable = 1202,
    intent_not_durable = 1203,
    overloaded = 1301,
    deadline_passed = 1302,
    no_upstream = 1303,
    request_crashes_upstreams = 1304,
    not_ready = 1305,
    shutting_down = 1306,
    request_quarantined = 1307,
    outcome_unknown = 1401,
    upstream_lost = 1402,
    answer_expired = 1403,
    upstream_failed = 1404,
    publish_conflict = 1501,
    document_invalid = 1502,
    log_unavailable = 1503,
    stale_incarnation = 1601,
    grant_closed = 1602,
    request_fenced = 1603,
    stale_fencing_number = 1604,
    upstream_leaving = 1605,
    internal_error = 1901,
    invalid_settings = 1902,
};

/// Entry of the table of result codes.
struct result_code_entry
{
    result_code code;
    std::string_view name;
    int http_status;     ///< 0 for codes that never reach a client
    execution_state ran; ///< default; a refusal may set a more precise value
};

/// All codes in ascending order.
std::span<result_code_entry const> result_code_table();

result_code_entry const& entry_of(result_code code);
std::string_view name_of(result_code code);
std::string_view name_of(execution_state state);
std::optional<result_code> result_code_from_number(int number);
std::optional<execution_state> parse_execution_state(std::string_view name);

} // namespace almondcart
