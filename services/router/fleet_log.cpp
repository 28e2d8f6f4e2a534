#include "fleet_log.hpp"

#include <almondcart/core/clock.hpp>

#include <map>

namespace almondcart {

fleet_log::fleet_log(
    router_settings const& settings,
    process_id self,
    http_client& client,
    fleet_fold& fold)
    : flush_interval_(settings.flush_interval)
    , self_(std::move(self))
    , transport_(client, settings.log_address)
    , fold_(fold)
{}

void fleet_log::tick()
{
    auto const now = system_clock_source::now();
    if (!is_reading_ && now - failed_at_ > duration(200))
        read();
    if (!is_appending_ && !queue_.empty() && now - appended_at_ >= flush_interval_)
        append();
}

std::int64_t fleet_log::submit(record_body body)
{
    auto stream = stream_of(body);
    return submit_to(stream, std::move(body));
}

std::int64_t fleet_log::submit_to(std::string const& stream, record_body body)
{
    auto const sequence = next_sequence_++;
    queue_.emplace_back(stream, to_json(log_record{self_, sequence, std::move(body)}));
    return sequence;
}

bool fleet_log::is_available() const
{
    return has_caught_up_ && system_clock_source::now() - read_at_ < duration(3000);
}

void fleet_log::read()
{
    is_reading_ = true;
    Json::Value message(Json::objectValue);
    message["limit"] = 500;
    message["wait_ms"] = has_caught_up_ ? 1000 : 0;
    for (auto const& stream : fleet_fold::streams())
    {
        Json::Value position(Json::objectValue);
        position["stream"] = stream;
        position["from"] = Json::Int64(fold_.offset(stream) + 1);
        message["positions"].append(position);
    }
    auto const sent = system_clock_source::now();
    transport_.read(
        message,
        [this, sent](absl::StatusOr<Json::Value> const& value)
        {
            is_reading_ = false;
            if (!value.ok())
            {
                failed_at_ = system_clock_source::now();
                return;
            }
            read_at_ = sent;
            receive(*value);
            read();
        });
}

void fleet_log::receive(Json::Value const& value)
{
    bool is_at_end = true;
    for (auto const& it : value["streams"])
    {
        auto const stream = it["stream"].asString();
        for (auto const& record : it["records"])
        {
            auto parsed = parse_record(record["data"]);
            auto const offset = record["offset"].asInt64();
            auto const time = record["time_ms"].asInt64();
            if (parsed.ok())
                fold_.apply(stream, {offset, time, *std::move(parsed)});
            else
                fold_.skip(stream, offset, time);
        }
        is_at_end = is_at_end && fold_.offset(stream) + 1 >= it["next_offset"].asInt64();
    }
    has_caught_up_ = has_caught_up_ || is_at_end;
}

void fleet_log::append()
{
    is_appending_ = true;
    appended_at_ = system_clock_source::now();
    std::map<std::string, Json::Value> batches;
    auto const count = queue_.size();
    for (auto const& [stream, record] : queue_)
        batches[stream].append(record);
    Json::Value message(Json::objectValue);
    for (auto const& [stream, records] : batches)
    {
        Json::Value batch(Json::objectValue);
        batch["stream"] = stream;
        batch["records"] = records;
        message["batches"].append(batch);
    }
    transport_.append(
        message,
        [this, count](absl::StatusOr<Json::Value> const& value)
        {
            is_appending_ = false;
            if (value.ok())
                queue_.erase(queue_.begin(), queue_.begin() + static_cast<std::ptrdiff_t>(count));
        });
}

} // namespace almondcart
