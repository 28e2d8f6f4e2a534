#pragma once

#include <almondcart/http/http_server.hpp>

#include <json/json.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>

namespace almondcart {

struct log_standin_settings
{
    std::int64_t retention_ms = 0;              ///< maximum age of records; 0 disables expiry
    std::size_t retention_count = 0;            ///< records kept per stream; 0 keeps all
    std::function<std::int64_t()> wall_time_ms; ///< defaults to the system clock
};

/// In-memory stand-in for the platform's append-only log service, with fault injection.
///
/// `POST /faults` sets the fault mode: `up` disables faults; `down` closes the connection of each
/// call without effect; `slow` delays each call by `delay_ms`; `lose_answers` applies appends and
/// closes the connection without a response. A mode with `count` above 0 ends after that many
/// calls. `expire_before_ms` above 0 removes the records with an older timestamp.
class log_standin
{
public:
    log_standin(event_loop& loop, http_server& server, log_standin_settings settings);
    ~log_standin();
    log_standin(log_standin const&) = delete;
    log_standin& operator=(log_standin const&) = delete;

private:
    using exchange_pointer = std::shared_ptr<http_exchange>;

    enum class fault_mode
    {
        up,
        down,
        slow,
        lose_answers,
    };

    struct record
    {
        std::int64_t time_ms = 0;
        Json::Value data;
    };

    struct stream
    {
        std::int64_t first_offset = 0;
        std::deque<record> records;

        std::int64_t end_offset() const
        {
            return first_offset + static_cast<std::int64_t>(records.size());
        }
    };

    struct pending_read
    {
        exchange_pointer exchange;
        Json::Value request;
        timer timeout;
    };

    /// Applies the fault mode to an append or read call.
    void handle_call(exchange_pointer const& exchange, bool is_append);
    void append(http_exchange& exchange, bool is_response_lost);
    void read(exchange_pointer const& exchange);
    void set_fault(http_exchange& exchange);
    void respond_stats(http_exchange& exchange);

    /// Returns the fault mode of the next call and counts the call.
    fault_mode consume_fault(bool is_append);
    void apply_retention();

    /// Answers the long polls that have records by now.
    void serve_pending_reads();
    Json::Value read_records(Json::Value const& request, bool& has_records);

    event_loop& loop_;
    log_standin_settings settings_;
    std::map<std::string, stream> streams_;
    std::list<pending_read> pending_reads_;
    std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true); ///< checked by delayed calls
    fault_mode mode_ = fault_mode::up;
    std::int64_t remaining_fault_calls_ = 0; ///< 0: until the mode changes
    duration delay_{0};
    std::int64_t last_time_ms_ = 0;
    std::int64_t append_count_ = 0;
    std::int64_t read_count_ = 0;
    std::int64_t lost_response_count_ = 0;
};

} // namespace almondcart
