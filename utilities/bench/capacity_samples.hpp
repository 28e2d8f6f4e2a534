#pragma once

#include <almondcart/ledger/records.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace almondcart::bench {

// Sample identifiers and records, with names as long as in a large deployment.

inline constexpr int sample_routers = 350;
inline constexpr int sample_accounts = 630;
inline constexpr std::int64_t sample_start_ms = 1'700'000'000'000;

process_id sample_router(int number);
process_id sample_agent(int number);
std::string sample_upstream(int number);

/// Creates a budget id. Consecutive numbers are spread evenly over `sample_accounts` accounts.
budget_id sample_budget(int number);
request_id sample_request(account_id const& account, std::int64_t number);
std::string sample_fingerprint(std::int64_t number);

usage_item sample_usage(request_id const& request, grant_id const& grant);
intent_record sample_intent(request_id const& request);
outcome_record sample_outcome(request_id const& request);
log_record sample_record(std::int64_t sequence, record_body body);

} // namespace almondcart::bench
