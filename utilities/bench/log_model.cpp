#include "log_model.hpp"

#include <algorithm>

namespace almondcart::bench {

void log_model::append(int router, event_queue::action effect, event_queue::action answered)
{
    ++appends_;
    if (!faults_.reaches_log(router))
        return;
    idle_at_ = std::max(idle_at_, queue_.now() + one_way) + service_time;
    queue_.at(
        idle_at_,
        [this, router, effect = std::move(effect), answered = std::move(answered)]
        { take(router, effect, answered); });
}

void log_model::take(
    int router,
    event_queue::action const& effect,
    event_queue::action const& answered)
{
    if (!faults_.is_log_up())
        return;
    effect();
    if (faults_.reaches_log(router) && !faults_.loses_answer())
        queue_.after(one_way, answered);
}

} // namespace almondcart::bench
