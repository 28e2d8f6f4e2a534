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

/// Settings of a `log_standin`.
struct log_standin_settings
{
    std::int64_t retention_ms = 0;              ///< age at which records expire; 0 keeps them
    std::size_t retention_count = 0;            ///< records kept per stream; 0 keeps all
    std::function<std::int64_t()> wall_time_ms; ///< default: the system's wall clock
};

/// Stand-in for the platform's append-only log service, in memory, with fault injection.
///
/// `POST /faults` sets a mode: `up`; `down` closes the connection of each call without effect;
/// `slow` delays each call by `delay_ms`; `lose_answers` applies appends and closes the connection.
/// A mode with `count` above 0 ends after that many calls. `expire_before_ms` above 0 removes the
/// records with an older time stamp.
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

    struct waiting_read
    {
        exchange_pointer exchange;
        Json::Value request;
        timer timeout;
    };

    void receive(exchange_pointer const& exchange, bool is_append);
    void append(http_exchange& exchange, bool is_answer_lost);
    void read(exchange_pointer const& exchange);
    void set_fault(http_exchange& exchange);
    void respond_stats(http_exchange& exchange);
    fault_mode next_fault(bool is_append);
    void expire();
    void wake_reads();
    Json::Value collect(Json::Value const& request, bool& has_records);

    event_loop& loop_;
    log_standin_settings settings_;
    std::map<std::string, stream> streams_;
    std::list<waiting_read> waiting_;
    std::shared_ptr<bool> is_alive_ = std::make_shared<bool>(true);
    fault_mode mode_ = fault_mode::up;
    std::int64_t fault_count_ = 0;
    duration delay_{0};
    std::int64_t last_time_ms_ = 0;
    std::int64_t append_count_ = 0;
    std::int64_t read_count_ = 0;
    std::int64_t lost_count_ = 0;
};

} // namespace almondcart
