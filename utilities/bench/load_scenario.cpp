#include "load_scenario.hpp"

#include <algorithm>
#include <cmath>
#include <string>

#include "routing_fleet.hpp"

namespace almondcart {

namespace {

double percentile_95(std::vector<double> values)
{
    if (values.empty())
        return 0;
    auto const n = static_cast<std::size_t>(std::ceil(0.95 * static_cast<double>(values.size())));
    std::sort(values.begin(), values.end());
    return values[n - 1];
}

double rounded_ratio(std::uint64_t part, std::uint64_t whole)
{
    constexpr double precision = 10'000;
    if (whole == 0)
        return 0;
    return std::round(precision * static_cast<double>(part) / static_cast<double>(whole)) /
           precision;
}

Json::Value to_json(std::string const& name, fleet_statistics const& statistics)
{
    Json::Value value;
    value["name"] = name;
    value["requests"] = Json::UInt64(statistics.requests);
    std::vector<double> all;
    for (std::size_t i = 0; i < bench_priorities; ++i)
    {
        auto const key = std::to_string(bench_kinds[i].priority);
        auto const& times = statistics.first_token_ms.at(i);
        all.insert(all.end(), times.begin(), times.end());
        value["p95_first_token_ms_by_priority"][key] = percentile_95(times);
        value["deadline_misses"][key] = Json::UInt64(statistics.missed.at(i));
        value["refusals"][key] = Json::UInt64(statistics.refused.at(i));
        value["arrivals"][key] = Json::UInt64(statistics.arrived.at(i));
    }
    value["p95_first_token_ms"] = percentile_95(all);
    value["cache_hit_share"] = rounded_ratio(statistics.cache_hits, statistics.first_tokens);
    return value;
}

std::string load_name(double load)
{
    return "load_" + std::to_string(static_cast<int>(std::round(load * 10)) / 10) + "_" +
           std::to_string(static_cast<int>(std::round(load * 10)) % 10);
}

} // namespace

Json::Value run_load_scenario(std::uint64_t seed, double load)
{
    fleet_settings settings;
    auto const trace = create_trace(seed, load, settings.length);
    Json::Value scenario;
    scenario["name"] = load_name(load);
    for (auto const policy :
         {bench_policy::product,
          bench_policy::random,
          bench_policy::round_robin,
          bench_policy::least_reported_load})
    {
        settings.policy = policy;
        routing_fleet fleet(settings, seed);
        scenario["policies"].append(to_json(name_of(policy), fleet.run(trace)));
    }
    return scenario;
}

Json::Value run_brown_out_scenario(std::uint64_t seed)
{
    constexpr double load = 0.4; // within the capacity of the remaining half
    fleet_settings settings;
    settings.outage_start = instant{} + settings.warm_up;
    settings.outage_end = instant{} + settings.length;
    settings.attempt_limit = 5;
    auto const trace = create_trace(seed, load, settings.length);
    Json::Value scenario;
    scenario["name"] = "brown_out";
    for (bool const has_budget : {true, false})
    {
        settings.has_retry_budget = has_budget;
        routing_fleet fleet(settings, seed);
        auto const statistics = fleet.run(trace);
        Json::Value policy;
        policy["name"] = has_budget ? "product" : "unlimited_retries";
        policy["requests"] = Json::UInt64(statistics.requests);
        policy["attempts"] = Json::UInt64(statistics.attempts);
        policy["load_amplification"] = rounded_ratio(statistics.attempts, statistics.requests);
        policy["failed"] = Json::UInt64(statistics.failed);
        scenario["policies"].append(policy);
    }
    return scenario;
}

} // namespace almondcart
