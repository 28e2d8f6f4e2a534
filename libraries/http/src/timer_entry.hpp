#pragma once

#include <almondcart/core/instant.hpp>

#include <cstdint>
#include <functional>
#include <utility>

namespace almondcart {

class event_loop;

namespace detail {

/// Timer of an event loop.
struct timer_entry
{
    event_loop* loop = nullptr;
    std::pair<instant, std::uint64_t> key;
    duration period{0}; ///< 0 for one-shot timers
    std::function<void()> callback;
    bool is_cancelled = false;
};

} // namespace detail

} // namespace almondcart
