#pragma once

#include <almondcart/core/instant.hpp>

#include <cstdint>

namespace almondcart {

/// Pseudo-random number generator for spreading work and retries. Equal seeds give equal sequences.
class random_sequence
{
public:
    explicit random_sequence(std::uint64_t seed)
        : state_(seed | 1U)
    {}

    std::uint64_t next()
    {
        // xorshift64
        state_ ^= state_ << 13U;
        state_ ^= state_ >> 7U;
        state_ ^= state_ << 17U;
        return state_;
    }

    /// Returns a value from `low` to `high`, both included.
    duration between(duration low, duration high)
    {
        auto const range = static_cast<std::uint64_t>((high - low).count()) + 1;
        return low + duration(static_cast<std::int64_t>(next() % range));
    }

private:
    std::uint64_t state_;
};

} // namespace almondcart
