#include <almondcart/forwarding/account_outlook.hpp>

#include <algorithm>

namespace almondcart::forwarding {

namespace {

/// Share of the remaining total that gateways may draw ahead. Each gateway counts its own free
/// tokens as remaining, so together they hold about half of it. If the rest covers less than the
/// horizon, the share shrinks with it, because the tokens held by a failed gateway would be a
/// larger part of what is left.
constexpr double prefetch_share = 0.8;
constexpr double min_prefetch_share = 0.2;

/// Spending that a report allows beyond the reported total: `slack_demand_s` seconds of demand or
/// one request at once, and then the estimated rate times `rate_headroom_factor`. With this margin,
/// only a burst while the log is unavailable reaches the limit.
constexpr double slack_demand_s = 0.5;
constexpr double rate_headroom_factor = 1.3;

/// Seconds of demand that may be spent after a report, which covers an outage of about that length.
/// If the process dies, tokens held beyond that are not lost.
constexpr double outage_demand_s = 10.5;

/// Share of what is left of the total that all gateways together may lose if they die at once
/// during an outage. If the rest covers less than `full_outage_coverage_s`, the share shrinks with
/// it: the end of the total is then nearer than that of most outages.
constexpr double max_outage_loss_share = 0.25;
constexpr double full_outage_coverage_s = outage_demand_s / max_outage_loss_share;

/// The same if they die while the log responds.
constexpr double slack_loss_share = 0.05;

} // namespace

std::int64_t account_outlook::target_free(duration horizon) const
{
    if (demand_per_s <= 0)
        return 0;
    double const horizon_s = std::chrono::duration<double>(horizon).count();
    // Includes this process's own free tokens, so that the target does not depend on its own draws.
    double const left = static_cast<double>(unclaimed_tokens + free_tokens);
    double const covered_s = left / all_demand_per_s();
    double const share =
        std::clamp(prefetch_share * covered_s / horizon_s, min_prefetch_share, prefetch_share);
    return static_cast<std::int64_t>(
        std::min(demand_per_s * horizon_s, share * covered_s * demand_per_s));
}

spending_report account_outlook::limit_spending(std::int64_t spent_tokens) const
{
    spending_report result;
    result.spent_tokens = spent_tokens;
    if (demand_per_s <= 0)
    {
        result.slack_tokens = largest_request;
        result.most_tokens = largest_request;
        return result;
    }
    // Free tokens may be negative in a report that counts waiting requests.
    double const left = std::max<double>(
        0, static_cast<double>(unclaimed_tokens + free_tokens + others_free_tokens));
    double const own_left = left * demand_per_s / all_demand_per_s();
    // A slack below the size of a request only means that the request waits for a report.
    double const slack = std::min(
        std::max(slack_demand_s * demand_per_s, static_cast<double>(largest_request)),
        slack_loss_share * own_left);
    double const covered_s = left / all_demand_per_s();
    double const outage_loss_share =
        max_outage_loss_share * std::min(1.0, covered_s / full_outage_coverage_s);
    double const outage = std::min(outage_demand_s * demand_per_s, outage_loss_share * own_left);
    result.slack_tokens = static_cast<std::int64_t>(slack);
    result.most_tokens = static_cast<std::int64_t>(slack + outage);
    result.rate_per_s = static_cast<std::int64_t>(demand_per_s * rate_headroom_factor);
    return result;
}

} // namespace almondcart::forwarding
