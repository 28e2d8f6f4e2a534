#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/forwarding/spending_report.hpp>

#include <cstdint>

namespace almondcart::forwarding {

/// What a gateway knows of one prepaid total: the demand for it and what is left. Derives how much
/// the gateway draws ahead and how much it may spend between two reports.
struct account_outlook
{
    double demand_per_s = 0;             ///< tokens that clients request from this gateway
    double others_demand_per_s = 0;      ///< tokens that clients request from the others
    std::int64_t unclaimed_tokens = 0;   ///< of the total
    std::int64_t free_tokens = 0;        ///< held by this gateway
    std::int64_t others_free_tokens = 0; ///< claimed by the others and not reported as spent
    std::int64_t largest_request = 0;    ///< tokens of the largest request so far
    std::int64_t total_tokens = 0;       ///< the whole total, or 0 if its end does not matter

    /// Free tokens that the gateway should hold, to serve `horizon` of demand without the log.
    std::int64_t target_free(duration horizon) const;

    /// Free tokens that the gateway should return, of which waiting requests need `needed`. An idle
    /// gateway, which has had no request for a while, returns all others once nearly all of the
    /// total is claimed.
    std::int64_t excess_free(std::int64_t needed, duration horizon, bool is_idle) const;

    /// Tokens to give a peer that needs and wants as many, out of `available` ones.
    std::int64_t
    gift(std::int64_t needed, std::int64_t wanted, std::int64_t available, bool is_idle) const;

    /// Spending allowed after a report with `spent_tokens`. The tokens that it allows are lost to
    /// all gateways if the process dies before its next report, so all gateways together are
    /// allowed a share of what is left of the total. While much of it is unclaimed, that share is
    /// distributed by held tokens, so that a gateway whose demand has just begun can spend what it
    /// holds; with nothing unclaimed, it is distributed by demand.
    spending_report limit_spending(std::int64_t spent_tokens) const;

    /// Estimates the largest request of a process from a report of it, for its successor.
    static std::int64_t
    estimate_largest_request(spending_report const& report, std::int64_t demand_per_s);

private:
    bool is_nearly_claimed() const;

    /// Tokens of the total that no gateway has reported as spent.
    double left_tokens() const;

    /// How much of what is left is unclaimed: 0 if nothing, 1 from half on.
    double freshness() const;

    /// How near the end of the total is: 0 far from it, 1 when little is left.
    double end_proximity() const;

    /// This gateway's share of what all gateways together may spend. The shares add up to one if
    /// all gateways know the same records.
    double limit_share() const;

    double all_demand_per_s() const { return demand_per_s + others_demand_per_s; }
};

} // namespace almondcart::forwarding
