#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/ledger/checkpoint.hpp>
#include <almondcart/ledger/records.hpp>

#include <absl/status/statusor.h>
#include <json/json.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace almondcart {

using log_response_function = std::function<void(absl::StatusOr<Json::Value>)>;

/// Sends a request body as in section 4.1 of the design page and calls back with the response body.
/// May call back at once, later or never.
using log_call_function = std::function<void(Json::Value const& body, log_response_function)>;

struct log_client_hooks
{
    log_call_function append;
    log_call_function read;
    clock_function now;
    /// Lamport time to write into records. May be empty.
    std::function<std::uint64_t()> logical_time = {};
};

struct log_client_settings
{
    duration flush_interval{100};
    duration read_wait{1000};         ///< how long the log may wait for new records in a read
    duration call_timeout{2000};      ///< for reads in addition to `read_wait`
    duration retry_delay_limit{2000}; ///< longest delay after failed calls
    duration contact_timeout{3000};   ///< without responses until the log counts as unavailable
    std::size_t buffer_bytes = std::size_t{16} << 20U;
    std::size_t append_bytes = std::size_t{1} << 20U; ///< size of the records in one append
    std::size_t checkpoint_part_bytes = std::size_t{64} << 10U;
    int read_limit = 500; ///< maximum number of records in one read
};

struct log_client_counters
{
    std::int64_t appends = 0;
    std::int64_t failed_appends = 0;
    std::int64_t resent_records = 0;
    std::int64_t refused_submissions = 0;
    std::int64_t reads = 0;
    std::int64_t failed_reads = 0;
    std::int64_t records_read = 0;
    std::int64_t unparsed_records = 0;
    std::int64_t gaps = 0;
};

/// Callbacks for one followed stream.
struct log_subscriber
{
    /// Replaces the state by a checkpoint's or a peer's, folded through the offset. On an error the
    /// old state and position are kept.
    std::function<absl::Status(Json::Value const& state, std::int64_t through_offset)> restore;
    std::function<void(stored_record const&)> on_record;
    std::function<void(std::int64_t offset, std::int64_t time_ms)> on_unparsed;

    /// Called when the log no longer has the record at `needed`, because its oldest one is at
    /// `first_offset`. Delivery stops until a checkpoint or `offer_snapshot` closes the gap.
    std::function<void(std::int64_t needed, std::int64_t first_offset)> on_gap;
};

/// Log client of one process. Owned by one event loop, which calls `tick` often. Network and clock
/// are accessed only through the hooks.
class log_client
{
public:
    /// Called with the offset of the record once it was read back. For a stream that is not
    /// followed, called with the offset from the append response.
    using read_back_function = std::function<void(std::int64_t offset)>;

    log_client(process_id writer, log_client_hooks hooks, log_client_settings settings = {});

    /// Follows a stream from its newest checkpoint, or from its start if there is none.
    void follow(std::string const& stream, log_subscriber subscriber);

    /// Restores a peer's state if it is ahead of the stream's position. While the log is
    /// unavailable, this also marks the stream as caught up, because nothing newer is available.
    absl::Status offer_snapshot(
        std::string const& stream,
        std::int64_t through_offset,
        Json::Value const& state);

    /// Queues a record and returns its sequence. Errors carry `log_unavailable` if the buffer is
    /// full, and `malformed_request` if the body determines no stream.
    absl::StatusOr<std::int64_t> submit(record_body body, read_back_function on_read_back = {});
    absl::StatusOr<std::int64_t>
    submit(std::string const& stream, record_body body, read_back_function on_read_back = {});

    /// Queues all parts of a checkpoint of `stream`, or none if the buffer is too full.
    absl::Status submit_checkpoint(
        std::string const& stream,
        std::int64_t through_offset,
        Json::Value const& state);

    /// Starts appends and reads that are due, and fails calls that timed out.
    void tick();

    /// Whether each followed stream has reached the log's end at least once.
    bool has_caught_up() const;
    void set_on_caught_up(std::function<void()> function) { on_caught_up_ = std::move(function); }

    /// Whether the log responded within the last `contact_timeout`.
    bool is_available() const;
    std::optional<instant> last_contact() const { return last_contact_; }

    /// Number of records known to be on the log but not yet read.
    std::int64_t lag(std::string const& stream) const;

    /// Offset of the next record to read.
    std::int64_t position(std::string const& stream) const;

    /// Checkpoint that was restored last, without its state.
    std::optional<checkpoint> newest_checkpoint(std::string const& stream) const;

    std::size_t buffered_bytes() const { return buffered_bytes_; }
    std::size_t buffered_records() const;
    log_client_counters const& counters() const { return counters_; }

private:
    struct pending_record
    {
        std::int64_t sequence = 0;
        Json::Value value;
        std::size_t bytes = 0;
        read_back_function on_read_back;
        bool was_sent = false;
        std::int64_t offset = -1; ///< from the append response
        bool is_appended = false; ///< confirmed by the log; not sent again
    };

    enum class phase
    {
        loading, ///< reads the checkpoint stream
        tailing,
        gap, ///< reads the checkpoint stream until a checkpoint closes the gap
    };

    struct tail
    {
        log_subscriber subscriber;
        phase state = phase::loading;
        std::int64_t next = 0;
        std::int64_t checkpoint_next = 0;
        std::int64_t first_offset = 0; ///< oldest record on the log
        std::int64_t end = 0;          ///< newest known end of the stream
        bool has_caught_up = false;
        checkpoint_collector checkpoints;
        std::optional<checkpoint> seen_checkpoint;
    };

    struct call
    {
        std::uint64_t id = 0; ///< responses to calls with other ids are ignored
        bool is_open = false;
        instant deadline;
        instant not_before; ///< earliest time of the next call
        duration retry_delay{0};
    };

    struct sent_batch
    {
        std::string stream;
        std::int64_t last_sequence = 0;
        std::int64_t count = 0;
    };

    absl::Status enqueue(std::string const& stream, pending_record record);
    void start_append();
    void finish_append(std::uint64_t id, absl::StatusOr<Json::Value> const& response);
    void mark_appended(std::map<std::string, std::int64_t> const& first_offsets);
    void start_read();
    void finish_read(std::uint64_t id, absl::StatusOr<Json::Value> const& response);
    void process_chunk(Json::Value const& chunk, bool is_truncated);
    void process_checkpoint_chunk(
        std::string const& stream,
        Json::Value const& chunk,
        bool is_truncated);
    void process_records(std::string const& stream, Json::Value const& chunk);
    void deliver(std::string const& stream, Json::Value const& item);
    void complete_read_back(std::string const& stream, stored_record const& record);
    void complete_restored(std::string const& stream, std::int64_t through_offset);
    void begin_gap(tail& it);
    void mark_caught_up(tail& it);
    void begin_call(call& it, duration timeout);
    void end_call(call& it, bool succeeded);

    process_id writer_;
    log_client_hooks hooks_;
    log_client_settings settings_;
    std::int64_t next_sequence_ = 1;
    std::map<std::string, std::deque<pending_record>> queues_; ///< in sequence order
    std::map<std::string, tail> tails_;
    std::deque<sent_batch> in_flight_;
    std::size_t buffered_bytes_ = 0;
    std::size_t first_stream_ = 0; ///< index of the stream that the next read lists first
    call append_call_;
    call read_call_;
    std::optional<instant> last_contact_;
    std::function<void()> on_caught_up_;
    bool was_caught_up_ = false;
    log_client_counters counters_;

    /// Response callbacks hold a weak reference, so that they do nothing after the client is
    /// destroyed.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace almondcart
