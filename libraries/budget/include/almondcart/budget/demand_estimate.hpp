#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/ledger/records.hpp>

#include <cstdint>

namespace almondcart {

/// Exponentially weighted demand of one router for one budget, in worst-case tokens per second. It
/// is the larger of a fast average, which reacts to a burst within seconds, and a slow one, which
/// keeps a budget with a few requests an hour from falling to zero between them.
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
