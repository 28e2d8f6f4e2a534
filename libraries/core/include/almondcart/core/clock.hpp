#pragma once

#include <almondcart/core/instant.hpp>

#include <cstdint>
#include <functional>

namespace almondcart {

/// Source of time. Injected, so that tests can control it.
using clock_function = std::function<instant()>;

/// System clock. Uses CLOCK_BOOTTIME, which also advances while a VM is suspended, so that timeouts
/// have expired when the process resumes.
class system_clock_source
{
public:
    static instant now();

    /// Unix time in milliseconds. It may be adjusted at any time, so timeouts use `now`.
    static std::int64_t wall_time_ms();

    static clock_function create();
};

/// Clock for tests, which changes only when it is advanced.
class manual_clock
{
public:
    instant now() const { return now_; }
    void advance(duration step) { now_ = now_ + step; }

    /// Returns a function that reads this clock. The clock must outlive it.
    clock_function function()
    {
        return [this] { return now_; };
    }

private:
    instant now_{};
};

} // namespace almondcart
