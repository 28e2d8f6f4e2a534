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

/// Sends a request body of section 4.1 of the design page and passes on the response body. May
/// respond at once, later or never.
using log_call_function = std::function<void(Json::Value const& body, log_response_function)>;

struct log_client_hooks
{
    log_call_function append;
    log_call_function read;
    clock_function now;
    /// Lamport time to state in records. May be empty.
    std::function<std::uint64_t()> logical_time = {};
};

struct log_client_settings
{
    duration flush_interval{100};
    duration read_wait{1000};         ///< time for which the log may hold back a read
    duration call_timeout{2000};      ///< beyond `read_wait` for reads
    duration retry_delay_limit{2000}; ///< longest wait after failed calls
    duration contact_timeout{3000};   ///< without a response the log counts as unavailable
    std::size_t buffer_bytes = std::size_t{16} << 20U;
    std::size_t append_bytes = std::size_t{1} << 20U; ///< records in one append
    std::size_t checkpoint_part_bytes = std::size_t{64} << 10U;
    int read_limit = 500; ///< records in one read
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

/// Receiver of one stream.
struct log_subscriber
{
    /// Takes a checkpoint's or a peer's state, folded through the offset. An error keeps the old
    /// state and position.
    std::function<absl::Status(Json::Value const& state, std::int64_t through_offset)> restore;
    std::function<void(stored_record const&)> on_record;
    std::function<void(std::int64_t offset, std::int64_t time_ms)> on_unparsed;

    /// The log no longer holds `needed`; its oldest record is at `first_offset`. Delivery stops
    /// until a checkpoint or `offer_snapshot` closes the gap.
    std::function<void(std::int64_t needed, std::int64_t first_offset)> on_gap;
};

/// Access of one process to the log. Owned by one event loop, which calls `tick` often; opens no
/// socket and reads no clock but the hook.
class log_client
{
public:
    /// Called with the offset of the record once it was read back. For a stream that is not
    /// followed, the offset stated by the response to the append.
    using read_back_function = std::function<void(std::int64_t offset)>;

    log_client(process_id writer, log_client_hooks hooks, log_client_settings settings = {});

    /// Follows a stream from its newest checkpoint, or from its start if there is none.
    void follow(std::string const& stream, log_subscriber subscriber);

    /// Takes a peer's state if it is ahead of the stream's position. While the log is unavailable
    /// it also counts as having caught up, because nothing newer can be had.
    absl::Status offer_snapshot(
        std::string const& stream,
        std::int64_t through_offset,
        Json::Value const& state);

    /// Queues a record and returns its sequence. Errors carry `log_unavailable` if the buffer is
    /// full, and `malformed_request` if the body names no stream.
    absl::StatusOr<std::int64_t> submit(record_body body, read_back_function on_read_back = {});
    absl::StatusOr<std::int64_t>
    submit(std::string const& stream, record_body body, read_back_function on_read_back = {});

    /// Queues all parts of a checkpoint of `stream`, or none.
    absl::Status submit_checkpoint(
        std::string const& stream,
        std::int64_t through_offset,
        Json::Value const& state);

    /// Sends what is due and gives up calls that took too long.
    void tick();

    /// Whether each followed stream reached the log's end at least once.
    bool has_caught_up() const;
    void set_on_caught_up(std::function<void()> function) { on_caught_up_ = std::move(function); }

    /// Whether the log responded within `contact_timeout`.
    bool is_available() const;
    std::optional<instant> last_contact() const { return last_contact_; }

    /// Records known to be on the log but not yet read.
    std::int64_t lag(std::string const& stream) const;

    /// Offset to be read next.
    std::int64_t position(std::string const& stream) const;

    /// Newest complete checkpoint seen when the stream was started; kept without its state.
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
        std::int64_t offset = -1; ///< stated by the log
        bool is_appended = false; ///< the log confirmed it; not sent again
    };

    enum class phase
    {
        loading, ///< reads the checkpoint stream
        tailing,
        gap, ///< reads the checkpoint stream until it holds a state that closes the gap
    };

    struct tail
    {
        log_subscriber subscriber;
        phase state = phase::loading;
        std::int64_t next = 0;
        std::int64_t checkpoint_next = 0;
        std::int64_t first_offset = 0; ///< oldest record that the log holds
        std::int64_t end = 0;          ///< newest known end of the stream
        bool has_caught_up = false;
        checkpoint_collector checkpoints;
        std::optional<checkpoint> seen_checkpoint;
    };

    struct call
    {
        std::uint64_t id = 0; ///< responses to other ids are ignored
        bool is_open = false;
        instant deadline;
        instant not_before; ///< time of the next call
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
    void confirm(std::map<std::string, std::int64_t> const& first_offsets);
    void start_read();
    void finish_read(std::uint64_t id, absl::StatusOr<Json::Value> const& response);
    void take_chunk(Json::Value const& chunk, bool is_truncated);
    void
    take_checkpoint_chunk(std::string const& stream, Json::Value const& chunk, bool is_truncated);
    void take_records(std::string const& stream, Json::Value const& chunk);
    void deliver(std::string const& stream, Json::Value const& item);
    void report_read_back(std::string const& stream, stored_record const& record);
    void report_restored(std::string const& stream, std::int64_t through_offset);
    void enter_gap(tail& it);
    void note_caught_up(tail& it);
    void open(call& it, duration timeout);
    void close(call& it, bool succeeded);

    process_id writer_;
    log_client_hooks hooks_;
    log_client_settings settings_;
    std::int64_t next_sequence_ = 1;
    std::map<std::string, std::deque<pending_record>> queues_; ///< in sequence order
    std::map<std::string, tail> tails_;
    std::deque<sent_batch> in_flight_;
    std::size_t buffered_bytes_ = 0;
    std::size_t first_position_ = 0; ///< stream that the next read states first
    call append_call_;
    call read_call_;
    std::optional<instant> last_contact_;
    std::function<void()> on_caught_up_;
    bool was_caught_up_ = false;
    log_client_counters counters_;

    /// Responses hold a weak reference, so that they are ignored after the client is gone.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace almondcart
