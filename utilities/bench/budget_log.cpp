#include "budget_log.hpp"

#include <charconv>

namespace almondcart::bench {

void budget_log::append(log_record const& record)
{
    auto const name = stream_of(record.body);
    int shard = 0;
    auto const* const digits = name.data() + name.rfind('-') + 1;
    std::from_chars(digits, name.data() + name.size(), shard);
    append_to(shard, record);
}

void budget_log::append_to(int shard, log_record const& record)
{
    auto& stream = streams_[std::size_t(shard)];
    stream.push_back({std::int64_t(stream.size()), queue_.now().since_epoch.count(), record});
}

budget_log_client::budget_log_client(
    int router,
    process_id self,
    event_queue& queue,
    log_model& log,
    budget_log& records)
    : router_(router)
    , self_(std::move(self))
    , queue_(queue)
    , log_(log)
    , streams_(records)
{}

std::int64_t budget_log_client::submit(record_body body)
{
    queued_.push_back({self_, ++sequence_, std::move(body)});
    return sequence_;
}

void budget_log_client::flush()
{
    if (!in_flight_.empty() || queued_.empty())
        return;
    in_flight_.swap(queued_);
    send();
}

void budget_log_client::send()
{
    auto const call_number = ++call_number_;
    auto const self = weak_from_this();
    log_.append(
        router_,
        [records = in_flight_, &log = streams_]
        {
            for (auto const& record : records)
                log.append(record);
            log.on_append();
        },
        [self, call_number]
        {
            if (auto client = self.lock(); client && client->call_number_ == call_number)
                client->in_flight_.clear();
        });
    queue_.after(
        response_timeout,
        [self, call_number]
        {
            if (auto client = self.lock();
                client && client->call_number_ == call_number && !client->in_flight_.empty())
                client->send();
        });
}

} // namespace almondcart::bench
