#include "capacity_control.hpp"

#include <almondcart/core/clock.hpp>
#include <almondcart/core/json.hpp>
#include <almondcart/gate/heartbeat.hpp>
#include <almondcart/routing/membership.hpp>

#include <string>
#include <vector>

#include "capacity_messages.hpp"
#include "capacity_probe.hpp"
#include "capacity_samples.hpp"

namespace almondcart::bench {

namespace {

/// Counts the messages and bytes of one node in one second.
class node_traffic
{
public:
    void count(std::string const& text)
    {
        ++messages_;
        bytes_ += std::int64_t(text.size());
    }

    Json::Value report(double cpu_ns) const
    {
        Json::Value value;
        value["messages_per_s"] = Json::Int64(messages_);
        value["bytes_per_s"] = Json::Int64(bytes_);
        value["cpu_us_per_s"] = cpu_ns / 1'000;
        return value;
    }

private:
    std::int64_t messages_ = 0;
    std::int64_t bytes_ = 0;
};

void apply_agent(membership& members, std::string const& text)
{
    auto const heartbeat = parse_agent_heartbeat((*parse_json(text))["params"]);
    members.apply(agent_presence{
        heartbeat->agent, heartbeat->upstream, heartbeat->address, heartbeat->is_leaving});
}

void apply_peer(membership& members, Json::Value const& value)
{
    members.apply(peer_presence{
        *parse_process_id(value["router"].asString()), value["address"].asString(), false});
}

Json::Value measure_router(int routers, int agents)
{
    manual_clock clock;
    membership members(sample_router(0), clock.function(), {});
    std::vector<std::string> messages;
    messages.reserve(std::size_t(agents));
    for (int n = 0; n < agents; ++n)
        messages.push_back(to_compact_json(create_heartbeat_call(n)));
    std::vector<std::string> calls;
    std::vector<std::string> results;
    calls.reserve(std::size_t(routers));
    results.reserve(std::size_t(routers));
    for (int n = 1; n < routers; ++n)
    {
        calls.push_back(to_compact_json(create_peer_heartbeat_call(n)));
        results.push_back(to_compact_json(create_peer_heartbeat_result(n)));
    }
    node_traffic traffic;
    capacity_probe const probe;
    for (auto const& text : messages)
    {
        traffic.count(text);
        apply_agent(members, text);
        traffic.count(to_compact_json(create_heartbeat_result()));
    }
    for (auto const& text : calls)
    {
        traffic.count(text);
        apply_peer(members, (*parse_json(text))["params"]);
        traffic.count(to_compact_json(create_peer_heartbeat_result(0)));
    }
    for (auto const& text : results)
    {
        traffic.count(to_compact_json(create_peer_heartbeat_call(0)));
        traffic.count(text);
        apply_peer(members, (*parse_json(text))["result"]);
    }
    members.tick();
    auto const cpu_ns = probe.cpu_ns();
    auto value = traffic.report(double(cpu_ns));
    value["membership_bytes"] = Json::Int64(probe.bytes());
    value["live_peers"] = Json::UInt64(members.live_peers().size());
    value["usable_upstreams"] = Json::UInt64(members.usable_upstreams().size());
    return value;
}

Json::Value measure_agent(int routers)
{
    auto const result = to_compact_json(create_heartbeat_result());
    node_traffic traffic;
    capacity_probe const probe;
    for (int n = 0; n < routers; ++n)
    {
        traffic.count(to_compact_json(create_heartbeat_call(1)));
        traffic.count(result);
        static_cast<void>(parse_agent_heartbeat_result((*parse_json(result))["result"]));
    }
    return traffic.report(double(probe.cpu_ns()));
}

} // namespace

Json::Value measure_control(int routers, int agents)
{
    Json::Value value;
    value["routers"] = routers;
    value["agents"] = agents;
    value["router"] = measure_router(routers, agents);
    value["agent"] = measure_agent(routers);
    return value;
}

} // namespace almondcart::bench
