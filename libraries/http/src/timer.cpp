#include <almondcart/http/event_loop.hpp>
#include <almondcart/http/timer.hpp>

#include "timer_entry.hpp"

namespace almondcart {

void timer::cancel()
{
    if (auto const entry = entry_.lock())
        entry->loop->cancel(*entry);
}

bool timer::is_active() const
{
    auto const entry = entry_.lock();
    return entry != nullptr && !entry->is_cancelled;
}

} // namespace almondcart
