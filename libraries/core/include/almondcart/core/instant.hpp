#pragma once

#include <chrono>
#include <compare>

namespace almondcart {

/// Duration in milliseconds.
using duration = std::chrono::milliseconds;

/// Point in time in milliseconds on the clock of one process. Instants of different processes are
/// not comparable.
struct instant
{
    duration since_epoch{0};

    // clang-tidy 14 takes the zero of rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(instant const&, instant const&) = default;

    friend instant operator+(instant left, duration right) { return {left.since_epoch + right}; }
    friend instant operator-(instant left, duration right) { return {left.since_epoch - right}; }
    friend duration operator-(instant left, instant right)
    {
        return left.since_epoch - right.since_epoch;
    }
};

} // namespace almondcart
