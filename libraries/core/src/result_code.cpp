#include <almondcart/core/result_code.hpp>

#include <algorithm>
#include <array>

namespace almondcart {

namespace {

constexpr auto entries = std::to_array<result_code_entry>({
    {result_code::ok, "ok", 200, execution_state::yes},
    {result_code::malformed_request, "malformed_request", 400, execution_state::no},
    {result_code::body_too_large, "body_too_large", 413, execution_state::no},
    {result_code::unknown_account, "unknown_account", 401, execution_state::no},
    {result_code::unknown_service, "unknown_service", 404, execution_state::no},
    {result_code::unknown_kind, "unknown_kind", 400, execution_state::no},
    {result_code::invalid_request_key, "invalid_request_key", 400, execution_state::no},
    {result_code::request_key_reused, "request_key_reused", 422, execution_state::no},
    {result_code::unknown_model, "unknown_model", 404, execution_state::no},
    {result_code::request_key_required, "request_key_required", 400, execution_state::no},
    {result_code::unknown_budget, "unknown_budget", 400, execution_state::no},
    {result_code::budget_exhausted, "budget_exhausted", 402, execution_state::no},
    {result_code::budget_unavailable, "budget_unavailable", 503, execution_state::no},
    {result_code::intent_not_durable, "intent_not_durable", 503, execution_state::no},
    {result_code::overloaded, "overloaded", 503, execution_state::no},
    {result_code::deadline_passed, "deadline_passed", 504, execution_state::no},
    {result_code::no_upstream, "no_upstream", 503, execution_state::no},
    {result_code::request_crashes_upstreams,
     "request_crashes_upstreams",
     422,
     execution_state::unknown},
    {result_code::not_ready, "not_ready", 503, execution_state::no},
    {result_code::shutting_down, "shutting_down", 503, execution_state::no},
    {result_code::request_quarantined, "request_quarantined", 503, execution_state::no},
    {result_code::outcome_unknown, "outcome_unknown", 504, execution_state::unknown},
    {result_code::upstream_lost, "upstream_lost", 502, execution_state::unknown},
    {result_code::answer_expired, "answer_expired", 410, execution_state::yes},
    {result_code::upstream_failed, "upstream_failed", 502, execution_state::yes},
    {result_code::publish_conflict, "publish_conflict", 409, execution_state::no},
    {result_code::document_invalid, "document_invalid", 422, execution_state::no},
    {result_code::log_unavailable, "log_unavailable", 503, execution_state::unknown},
    {result_code::stale_incarnation, "stale_incarnation", 409, execution_state::no},
    {result_code::grant_closed, "grant_closed", 409, execution_state::no},
    {result_code::request_fenced, "request_fenced", 409, execution_state::no},
    {result_code::stale_fencing_number, "stale_fencing_number", 409, execution_state::no},
    {result_code::upstream_leaving, "upstream_leaving", 503, execution_state::no},
    {result_code::internal_error, "internal_error", 500, execution_state::unknown},
    {result_code::invalid_settings, "invalid_settings", 0, execution_state::no},
});

constexpr std::array<std::string_view, 3> execution_state_names = {"no", "yes", "unknown"};

} // namespace

std::span<result_code_entry const> result_code_table()
{
    return entries;
}

result_code_entry const& entry_of(result_code code)
{
    auto const it = std::ranges::find(entries, code, &result_code_entry::code);
    return it == entries.end() ? entries.back() : *it;
}

std::string_view name_of(result_code code)
{
    return entry_of(code).name;
}

std::string_view name_of(execution_state state)
{
    return execution_state_names.at(static_cast<std::size_t>(state));
}

std::optional<result_code> result_code_from_number(int number)
{
    auto const it = std::ranges::find(
        entries, number, [](auto const& entry) { return static_cast<int>(entry.code); });
    if (it == entries.end())
        return std::nullopt;
    return it->code;
}

std::optional<execution_state> parse_execution_state(std::string_view name)
{
    auto const it = std::ranges::find(execution_state_names, name);
    if (it == execution_state_names.end())
        return std::nullopt;
    return static_cast<execution_state>(it - execution_state_names.begin());
}

} // namespace almondcart
