#pragma once

#include <memory>

namespace almondcart {

namespace detail {
struct timer_entry;
} // namespace detail

/// Handle of a timer of an `event_loop`. Copies refer to the same timer. Destroying a handle does
/// not cancel the timer; the owner of the objects that the callback captures must cancel it.
class timer
{
public:
    timer() = default;

    /// The callback does not run after this call. No effect on a timer that has expired.
    void cancel();

    /// Whether the callback is still to run.
    bool is_active() const;

private:
    friend class event_loop;

    explicit timer(std::weak_ptr<detail::timer_entry> entry)
        : entry_(std::move(entry))
    {}

    std::weak_ptr<detail::timer_entry> entry_;
};

} // namespace almondcart
