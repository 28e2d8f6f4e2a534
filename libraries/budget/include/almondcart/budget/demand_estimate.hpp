#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/ledger/records.hpp>

#include <cstdint>

namespace almondcart {

/// Exponentially weighted demand of one router for one budget, in worst-case tokens per second.
/// The larger of a fast and a slow average: a burst shows within seconds, and a budget with a few
/// requests an hour does not fall to zero between them.
class demand_estimate
{
public:
    static constexpr double fast_seconds = 30;
    static constexpr double slow_seconds = 900;

    void add(token_count tokens, instant now);
    std::int64_t tokens_per_s(instant now) const;

private:
    double fast_ = 0; ///< decayed sum of tokens
    double slow_ = 0;
    instant updated_{};
};

} // namespace almondcart
