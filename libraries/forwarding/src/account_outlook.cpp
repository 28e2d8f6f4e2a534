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

/// Remaining shares of a total at which its end begins and at which the reductions apply in full.
/// About half of what is left is then unclaimed, so nine tenths of the total are claimed at the
/// second. Near the end, tokens that a restart writes off are missed by requests soon after, while
/// a request that is refused in a cut leaves its tokens to others.
constexpr double end_begin_share = 0.4;
constexpr double end_full_share = 0.2;
constexpr double end_slack_reduction = 0.5;
constexpr double end_outage_reduction = 0.6;

/// Unclaimed share of a total below which idle gateways give up what they hold.
constexpr double nearly_claimed_share = 0.1;

/// Share of what is left that is unclaimed from which the limits are distributed by held tokens
/// alone. With none unclaimed they follow the demand alone.
constexpr double fresh_unclaimed_share = 0.5;

/// Share of what is left that all gateways together may spend at once, and again in each second
/// after their reports, of tokens that they hold beyond their demand. Half of `slack_loss_share`:
/// with all of it, a fleet that is killed with 40 s of demand left uses under 95 in 100 of a total.
constexpr double held_loss_share = 0.025;

/// Share of its held tokens that a gateway may spend over an outage whatever its demand. Gateways
/// hold `horizon` (15 s) of demand, so it is about what `outage_demand_s` allows in steady demand.
constexpr double held_outage_share = 0.7;

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

std::int64_t account_outlook::excess_free(std::int64_t needed, duration horizon, bool is_idle) const
{
    if (is_idle && is_nearly_claimed())
        return std::max<std::int64_t>(0, free_tokens - needed);
    // Returned tokens help other gateways only if little of the total is left.
    if (unclaimed_tokens >= 2 * (free_tokens - needed))
        return 0;
    auto const target = target_free(horizon);
    return free_tokens - needed > 2 * target ? free_tokens - needed - target : 0;
}

std::int64_t account_outlook::gift(
    std::int64_t needed,
    std::int64_t wanted,
    std::int64_t available,
    bool is_idle) const
{
    // Requests that wait at the peer take precedence over expected demand here; beyond them, the
    // peer gets up to half of the available tokens.
    auto const shared = is_idle && is_nearly_claimed() ? available : available / 2;
    return std::min(available, std::max(needed, std::min(wanted, shared)));
}

bool account_outlook::is_nearly_claimed() const
{
    return static_cast<double>(unclaimed_tokens) <
           nearly_claimed_share * static_cast<double>(total_tokens);
}

double account_outlook::left_tokens() const
{
    // Free tokens may be negative in a report that counts waiting requests.
    return std::max<double>(
        0, static_cast<double>(unclaimed_tokens + free_tokens + others_free_tokens));
}

double account_outlook::freshness() const
{
    auto const left = left_tokens();
    if (left <= 0)
        return 0;
    return std::clamp(
        static_cast<double>(unclaimed_tokens) / left / fresh_unclaimed_share, 0.0, 1.0);
}

double account_outlook::end_proximity() const
{
    if (total_tokens <= 0)
        return 0;
    double const share = left_tokens() / static_cast<double>(total_tokens);
    return std::clamp((end_begin_share - share) / (end_begin_share - end_full_share), 0.0, 1.0);
}

double account_outlook::limit_share() const
{
    auto const all_demand = all_demand_per_s();
    double const by_demand = all_demand > 0 ? demand_per_s / all_demand : 0;
    auto const free = std::max<std::int64_t>(0, free_tokens);
    auto const all_free = free + std::max<std::int64_t>(0, others_free_tokens);
    if (all_free <= 0)
        return by_demand;
    double const by_held = static_cast<double>(free) / static_cast<double>(all_free);
    return by_demand + freshness() * (by_held - by_demand);
}

spending_report account_outlook::limit_spending(std::int64_t spent_tokens) const
{
    auto const left = left_tokens();
    auto const all_demand = all_demand_per_s();
    auto const own_left = left * limit_share();
    auto const fresh = freshness();
    // What the held tokens allow, whatever the demand.
    auto const held_outage =
        fresh * held_outage_share * static_cast<double>(std::max<std::int64_t>(0, free_tokens));
    auto const held_at_once = std::min(held_outage, fresh * held_loss_share * own_left);

    double const near_end = end_proximity();
    // A slack below the size of a request only means that the request waits for a report.
    double const most_slack = slack_loss_share * own_left * (1 - near_end * end_slack_reduction);
    double const demand_slack = std::min(
        std::max(slack_demand_s * demand_per_s, static_cast<double>(largest_request)), most_slack);
    double const slack = std::max(demand_slack, std::min(held_at_once, most_slack));
    double const covered_s = all_demand > 0 ? left / all_demand : full_outage_coverage_s;
    double const outage_loss_share = max_outage_loss_share *
                                     std::min(1.0, covered_s / full_outage_coverage_s) *
                                     (1 - near_end * end_outage_reduction);
    double const most = std::max(demand_slack + outage_demand_s * demand_per_s, held_outage);
    double const outage = std::clamp(most - slack, 0.0, outage_loss_share * own_left);
    spending_report result;
    result.spent_tokens = spent_tokens;
    result.slack_tokens = static_cast<std::int64_t>(slack);
    result.most_tokens = static_cast<std::int64_t>(slack + outage);
    result.rate_per_s =
        static_cast<std::int64_t>(std::max(demand_per_s * rate_headroom_factor, held_at_once));
    if (demand_per_s <= 0)
    {
        // Without demand, the share may be zero although a first request is on its way.
        result.slack_tokens = std::max(result.slack_tokens, largest_request);
        result.most_tokens = std::max(result.most_tokens, largest_request);
    }
    return result;
}

std::int64_t
account_outlook::estimate_largest_request(spending_report const& report, std::int64_t demand_per_s)
{
    // A slack that is no larger than the rate may stem from the held tokens or from the demand.
    if (report.slack_tokens > report.rate_per_s)
        return report.slack_tokens;
    auto const slack = slack_demand_s * static_cast<double>(demand_per_s);
    return std::min(report.slack_tokens, static_cast<std::int64_t>(slack));
}

} // namespace almondcart::forwarding
