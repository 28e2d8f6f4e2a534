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
    , records_(records)
{}

std::int64_t budget_log_client::submit(record_body body)
{
    waiting_.push_back({self_, ++sequence_, std::move(body)});
    return sequence_;
}

void budget_log_client::flush()
{
    if (!sent_.empty() || waiting_.empty())
        return;
    sent_.swap(waiting_);
    send();
}

void budget_log_client::send()
{
    auto const call = ++call_;
    auto const self = weak_from_this();
    log_.append(
        router_,
        [records = sent_, &log = records_]
        {
            for (auto const& record : records)
                log.append(record);
            log.on_append();
        },
        [self, call]
        {
            if (auto client = self.lock(); client && client->call_ == call)
                client->sent_.clear();
        });
    queue_.after(
        answer_timeout,
        [self, call]
        {
            if (auto client = self.lock();
                client && client->call_ == call && !client->sent_.empty())
                client->send();
        });
}

} // namespace almondcart::bench
