#pragma once

#include <almondcart/core/instant.hpp>

#include <cstdint>
#include <functional>

namespace almondcart {

/// Source of time for all decision code.
using clock_function = std::function<instant()>;

/// Clock of the running system. Uses CLOCK_BOOTTIME, which also advances while a VM is suspended,
/// so that a resumed process sees its timeouts as expired.
class system_clock_source
{
public:
    static instant now();

    /// Wall-clock milliseconds since 1970, for time lines and log lines only.
    static std::int64_t wall_time_ms();

    static clock_function create();
};

/// Clock that stands still until a test advances it.
class manual_clock
{
public:
    instant now() const { return now_; }
    void advance(duration step) { now_ = now_ + step; }

    /// The returned function refers to this clock, which must outlive it.
    clock_function function()
    {
        return [this] { return now_; };
    }

private:
    instant now_{};
};

} // namespace almondcart
