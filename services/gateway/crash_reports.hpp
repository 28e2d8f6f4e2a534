#pragma once

#include <almondcart/forwarding/crash_observer.hpp>
#include <almondcart/forwarding/crash_quarantine.hpp>
#include <almondcart/forwarding/log_writer.hpp>
#include <almondcart/platform/topic_follower.hpp>

#include <deque>
#include <string>
#include <vector>

#include "gateway_metrics.hpp"

namespace almondcart {

/// Shares with all gateways, through a topic of the store, which requests crash upstreams.
class crash_reports
{
public:
    /// All references must outlive this object.
    crash_reports(
        event_loop& loop,
        platform::store_client& store,
        gateway_metrics& metrics,
        std::string vm);

    void start() { follower_.start(); }

    /// Writes reports that are due. Must be called periodically.
    void tick();

    forwarding::crash_observer& observer() { return observer_; }
    forwarding::crash_quarantine const& quarantine() const { return quarantine_; }

private:
    using writer = forwarding::log_writer<forwarding::crash_record>;

    forwarding::crash_quarantine::hooks create_quarantine_hooks();
    forwarding::crash_observer::hooks create_observer_hooks(event_loop& loop);
    writer::hooks create_writer_hooks(event_loop& loop);
    platform::topic_follower::hooks create_follower_hooks();
    void queue(forwarding::crash_record report);
    void write_next();
    void apply(platform::keyed_record const& record);

    platform::store_client& store_;
    gateway_metrics& metrics_;
    std::string vm_;
    forwarding::crash_quarantine quarantine_;
    forwarding::crash_observer observer_;
    writer writer_;
    std::deque<forwarding::crash_record> queue_; ///< reports to be written
    int next_slot_ = 0;
    bool has_written_ = false;
    platform::topic_follower follower_;
};

} // namespace almondcart
