#pragma once

#include <almondcart/core/event_journal.hpp>
#include <almondcart/http/http_client.hpp>
#include <almondcart/log/log_client.hpp>

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "fleet_state.hpp"
#include "log_transport.hpp"
#include "router_settings.hpp"

namespace almondcart {

/// Keeps a router's state in step with the log: follows all streams, appends records and writes
/// checkpoints.
class fleet_log
{
public:
    /// `writes_checkpoints` returns whether this router is the one that writes the checkpoints of a
    /// stream. All arguments must outlive the object.
    fleet_log(
        router_settings const& settings,
        process_id self,
        http_client& client,
        event_journal& journal,
        fleet_state& state,
        std::function<bool(std::string const& stream)> writes_checkpoints);

    /// Starts following all streams.
    void start();

    void tick();

    /// Queues a record for its stream and returns its sequence, or -1 if the buffer is full because
    /// the log has been unavailable for long.
    std::int64_t submit(record_body body);
    std::int64_t submit_to(std::string const& stream, record_body body);

    /// Applies a peer's state of a stream if it is newer than this router's.
    void offer_snapshot(std::string const& stream, std::int64_t offset, Json::Value const& state);

    bool is_available() const { return client_.is_available(); }
    bool has_caught_up() const { return client_.has_caught_up(); }

    /// Whether states of peers are needed because the log is unavailable or has dropped records.
    bool needs_snapshots() const { return !client_.is_available() || has_gap_; }

    /// Time of the log's last response, or the epoch if it has never responded.
    instant last_contact() const { return client_.last_contact().value_or(instant{}); }

    /// Whether all submitted records have been appended.
    bool is_flushed() const { return client_.buffered_records() == 0; }

    log_client const& client() const { return client_; }

private:
    log_subscriber create_subscriber(std::string const& stream);
    void write_checkpoints();
    void report_availability_change();
    bool is_checkpoint_due(std::string const& stream, instant now);

    duration checkpoint_interval_;
    event_journal& journal_;
    fleet_state& state_;
    std::function<bool(std::string const&)> writes_checkpoints_;
    log_transport transport_;
    log_client client_;
    std::map<std::string, instant> checkpoint_times_;
    instant last_checkpoint_check_;
    bool has_gap_ = false;
    bool was_available_ = false;
};

} // namespace almondcart
