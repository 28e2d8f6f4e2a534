#include "capacity_samples.hpp"

#include <almondcart/core/hash.hpp>

#include <fmt/format.h>

namespace almondcart::bench {

namespace {

std::string hex_of(std::string_view kind, std::int64_t number)
{
    return fmt::format("{:016x}", hash64(fmt::format("{}{}", kind, number)));
}

} // namespace

process_id sample_router(int number)
{
    return {fmt::format("router-{:03}", number), hex_of("router", number)};
}

process_id sample_agent(int number)
{
    return {fmt::format("agent-{:04}", number), hex_of("agent", number)};
}

std::string sample_upstream(int number)
{
    return fmt::format("model-{:04}", number);
}

budget_id sample_budget(int number)
{
    return {
        {"sandshare", fmt::format("client-{:03}", number % sample_accounts)},
        fmt::format("budget-{:05}", number)};
}

request_id sample_request(account_id const& account, std::int64_t number)
{
    return {account, hex_of("request", number) + hex_of("key", number)};
}

std::string sample_fingerprint(std::int64_t number)
{
    return hex_of("fingerprint", number) + hex_of("body", number);
}

usage_item sample_usage(request_id const& request, grant_id const& grant)
{
    return {request, sample_start_ms, {{grant, 284}}};
}

intent_record sample_intent(request_id const& request)
{
    return {request, 1, sample_agent(17), sample_fingerprint(17), sample_start_ms};
}

outcome_record sample_outcome(request_id const& request)
{
    constexpr std::size_t body_bytes = 200;
    return {
        request,
        1,
        outcome_state::completed,
        201,
        "application/json",
        std::string(body_bytes, 'x')};
}

log_record sample_record(std::int64_t sequence, record_body body)
{
    return {sample_router(int(sequence % sample_routers)), sequence, std::move(body)};
}

} // namespace almondcart::bench
