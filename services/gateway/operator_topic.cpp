#include "operator_topic.hpp"

#include <almondcart/platform/operator_records.hpp>

#include <spdlog/spdlog.h>

#include <map>
#include <utility>

namespace almondcart {

namespace {

/// While the store is overloaded. Gateways leave a drained zone within 5 s after the operator's
/// record, so the topic of the configuration is asked again soon.
constexpr duration max_pause{400};

/// A drain with a malformed value is in force, because the operator asked for it.
void check_drain(platform::keyed_record const& record)
{
    if (!platform::is_drain_value(*record.value))
        spdlog::warn(
            "[drain] key={} offset={} malformed value, the zone is drained",
            record.key,
            record.offset);
}

} // namespace

operator_topic::operator_topic(
    event_loop& loop,
    platform::store_client& store,
    std::uint64_t seed,
    forwarding::drained_zones& drained,
    configuration_function on_configuration)
    : drained_(drained)
    , on_configuration_(std::move(on_configuration))
    , follower_(
          loop,
          store,
          {.topic = platform::configuration_topic,
           .pacing = {.max_pause = max_pause, .seed = seed}},
          create_hooks())
{}

platform::topic_follower::hooks operator_topic::create_hooks()
{
    platform::topic_follower::hooks hooks;
    hooks.on_snapshot = [this](auto const& records, std::int64_t end)
    { apply_snapshot(records, end); };
    hooks.on_record = [this](platform::keyed_record const& record) { apply(record); };
    hooks.on_position = [](std::int64_t) {};
    hooks.on_disconnected = [](platform::store_error error)
    { spdlog::warn("[config] store unavailable: {}", platform::name_of(error)); };
    hooks.on_reconnected = [] { spdlog::info("[config] store available again"); };
    return hooks;
}

void operator_topic::apply_snapshot(
    std::map<std::string, platform::keyed_record> const& records,
    std::int64_t end)
{
    // Drains first, because the configuration may make the gateway ready.
    std::map<std::string, std::int64_t> zones;
    for (auto const& [key, record] : records)
    {
        auto const zone = platform::drained_zone_of(key);
        if (!zone || !record.value)
            continue;
        check_drain(record);
        zones.emplace(*zone, record.offset);
    }
    drained_.replace_all(zones, end);
    auto const it = records.find(platform::configuration_key);
    if (it != records.end())
        apply(it->second);
}

void operator_topic::apply(platform::keyed_record const& record)
{
    if (record.key == platform::configuration_key)
    {
        if (record.value)
            on_configuration_(*record.value, record.offset);
        return;
    }
    auto const zone = platform::drained_zone_of(record.key);
    if (!zone)
        return;
    if (record.value)
        check_drain(record);
    drained_.apply(*zone, record.value.has_value(), record.offset);
}

} // namespace almondcart
