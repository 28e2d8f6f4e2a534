#include "log_model.hpp"

#include <algorithm>

namespace almondcart::bench {

void log_model::append(int router, event_queue::action apply, event_queue::action on_response)
{
    ++appends_;
    if (!faults_.reaches_log(router))
        return;
    idle_at_ = std::max(idle_at_, queue_.now() + one_way_latency) + service_time;
    queue_.at(
        idle_at_,
        [this, router, apply = std::move(apply), on_response = std::move(on_response)]
        { handle_append(router, apply, on_response); });
}

void log_model::handle_append(
    int router,
    event_queue::action const& apply,
    event_queue::action const& on_response)
{
    if (!faults_.is_log_up())
        return;
    apply();
    if (faults_.reaches_log(router) && !faults_.loses_response())
        queue_.after(one_way_latency, on_response);
}

} // namespace almondcart::bench
