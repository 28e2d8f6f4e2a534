#pragma once

#include <almondcart/ledger/records.hpp>

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <vector>

#include "log_model.hpp"

namespace almondcart::bench {

/// Contents of the budget streams in the simulated log.
class budget_log
{
public:
    explicit budget_log(event_queue& queue)
        : queue_(queue)
    {}

    /// `record` must belong to a budget stream.
    void append(log_record const& record);
    void append_to(int shard, log_record const& record);

    std::deque<stored_record> const& stream(int shard) const
    {
        return streams_[std::size_t(shard)];
    }

    /// Called after an append call has taken effect.
    std::function<void()> on_append;

private:
    event_queue& queue_;
    std::array<std::deque<stored_record>, budget_shard_count> streams_;
};

/// Log client of one router. Sends the records queued since the last flush in one call, allows one
/// call at a time, and repeats a call without a response.
class budget_log_client : public std::enable_shared_from_this<budget_log_client>
{
public:
    static constexpr duration response_timeout{1000};

    budget_log_client(int router, process_id self, event_queue& queue, log_model& log, budget_log&);

    std::int64_t submit(record_body body);
    void flush();

private:
    void send();

    int router_;
    process_id self_;
    event_queue& queue_;
    log_model& log_;
    budget_log& streams_;
    std::vector<log_record> queued_;
    std::vector<log_record> in_flight_;
    std::int64_t call_number_ = 0;
    std::int64_t sequence_ = 0;
};

} // namespace almondcart::bench
