#include <almondcart/core/event_journal.hpp>

#include <algorithm>
#include <utility>

namespace almondcart {

namespace {

Json::Value event_to_json(event const& entry)
{
    Json::Value value(Json::objectValue);
    value["sequence"] = Json::UInt64(entry.sequence);
    value["logical_time"] = Json::UInt64(entry.logical_time);
    value["wall_time_ms"] = Json::Int64(entry.wall_time_ms);
    value["part"] = entry.part;
    value["name"] = entry.name;
    auto const set_if_present = [&value](char const* name, std::string const& text)
    {
        if (!text.empty())
            value[name] = text;
    };
    set_if_present("request", entry.request);
    set_if_present("budget", entry.budget);
    set_if_present("upstream", entry.upstream);
    set_if_present("detail", entry.detail);
    return value;
}

} // namespace

event_journal::event_journal(
    process_id process,
    std::function<std::int64_t()> wall_time_ms,
    std::size_t capacity)
    : process_(std::move(process))
    , wall_time_ms_(std::move(wall_time_ms))
    , capacity_(capacity)
{}

void event_journal::record(event entry)
{
    entry.sequence = next_sequence_++;
    entry.logical_time = ++logical_time_;
    entry.wall_time_ms = wall_time_ms_();
    if (events_.size() == capacity_)
    {
        events_.pop_front();
        ++dropped_;
    }
    events_.push_back(std::move(entry));
}

void event_journal::observe(std::uint64_t logical_time)
{
    logical_time_ = std::max(logical_time_, logical_time) + 1;
}

Json::Value event_journal::to_json(std::uint64_t after_sequence) const
{
    Json::Value value(Json::objectValue);
    value["process"] = to_text(process_);
    value["dropped"] = Json::UInt64(dropped_);
    value["events"] = Json::Value(Json::arrayValue);
    for (auto const& entry : events_)
    {
        if (entry.sequence > after_sequence)
            value["events"].append(event_to_json(entry));
    }
    return value;
}

} // namespace almondcart
