#pragma once

#include <cstdint>
#include <functional>

#include "event_queue.hpp"
#include "fault_model.hpp"

namespace almondcart::bench {

/// The platform's log: one append takes `service_time` of a single server, answers may be lost,
/// outages swallow calls.
class log_model
{
public:
    static constexpr duration one_way{2};
    static constexpr duration service_time{2}; ///< 500 appends per second

    log_model(event_queue& queue, fault_model& faults)
        : queue_(queue)
        , faults_(faults)
    {}

    /// Sends one append call. `effect` runs when the log takes it; `answered` runs unless the call
    /// or its answer is lost.
    void append(int router, event_queue::action effect, event_queue::action answered);

    /// Append calls sent, whether or not they took effect.
    std::int64_t appends() const { return appends_; }

private:
    void take(int router, event_queue::action const& effect, event_queue::action const& answered);

    event_queue& queue_;
    fault_model& faults_;
    instant idle_at_{};
    std::int64_t appends_ = 0;
};

} // namespace almondcart::bench
