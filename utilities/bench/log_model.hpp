#pragma once

#include <cstdint>
#include <functional>

#include "event_queue.hpp"
#include "fault_model.hpp"

namespace almondcart::bench {

/// Model of the platform's log: a single server that takes `service_time` per append. Responses may
/// be lost, and calls during outages have no effect.
class log_model
{
public:
    static constexpr duration one_way_latency{2};
    static constexpr duration service_time{2}; ///< 500 appends per second

    log_model(event_queue& queue, fault_model& faults)
        : queue_(queue)
        , faults_(faults)
    {}

    /// Sends one append call. `apply` runs when the log executes it; `on_response` runs unless
    /// the call or its response is lost.
    void append(int router, event_queue::action apply, event_queue::action on_response);

    /// Number of append calls sent, whether or not they took effect.
    std::int64_t appends() const { return appends_; }

private:
    void handle_append(
        int router,
        event_queue::action const& apply,
        event_queue::action const& on_response);

    event_queue& queue_;
    fault_model& faults_;
    instant idle_at_{};
    std::int64_t appends_ = 0;
};

} // namespace almondcart::bench
