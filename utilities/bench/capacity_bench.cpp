#include "capacity_bench.hpp"

#include <almondcart/core/json.hpp>

#include <fmt/format.h>

#include <array>
#include <iostream>
#include <string>
#include <utility>

#include "capacity_configuration.hpp"
#include "capacity_control.hpp"
#include "capacity_fleet.hpp"
#include "capacity_gate.hpp"
#include "capacity_messages.hpp"
#include "capacity_probe.hpp"
#include "capacity_shards.hpp"

namespace almondcart {

using namespace std::chrono_literals;

namespace {

/// Numbers of routers and agents: the current fleet, the router counts of `measure_fleet` with 18.3
/// agents per router, and the target size.
constexpr std::array<std::pair<int, int>, 6> control_sizes{
    {{3, 32}, {2, 37}, {8, 146}, {32, 585}, {64, 1'170}, {350, 6'400}}};

void print_value(std::string const& name, Json::Value const& value, int depth)
{
    auto const indent = std::string(std::size_t(depth) * 2, ' ');
    if (value.isObject() || value.isArray())
    {
        std::cout << indent << name << '\n';
        for (auto it = value.begin(); it != value.end(); ++it)
            print_value(value.isObject() ? it.name() : name, *it, depth + 1);
        return;
    }
    auto const text = value.isDouble() ? fmt::format("{:.2f}", value.asDouble()) : value.asString();
    std::cout << indent << fmt::format("{:<34} {:>14}\n", name, text);
}

} // namespace

int run_capacity_bench(bench_options const& options)
{
    Json::Value report;
    report["seed"] = Json::UInt64(options.seed);
    report["machine"] = bench::machine_json();
    report["records"] = bench::measure_records();
    report["messages"] = bench::measure_messages();
    for (int const budgets : {100, 1'000, 10'000, 59'000})
        report["shards"].append(bench::measure_shards(budgets, options.seed));
    for (int const agents : {20, 400, 6'400})
        report["agents"].append(bench::measure_registered_agents(agents));
    for (int const budgets : {100, 1'000, 10'000, 59'000})
        report["configuration"].append(bench::measure_configuration(budgets, 20));
    report["configuration"].append(bench::measure_configuration(100, 6'400));
    report["gate"] = bench::measure_gate();
    for (auto const& [routers, agents] : control_sizes)
        report["control"].append(bench::measure_control(routers, agents));
    // Routers request most grants when they first use their budgets, so one small fleet gets a
    // longer warm-up to show the steady state.
    report["fleet"].append(bench::measure_fleet(2, options.seed, 300s, 60s));
    for (int const routers : {2, 8, 32, 64})
        report["fleet"].append(bench::measure_fleet(routers, options.seed, 5s, 3s));
    if (options.is_json)
        std::cout << to_compact_json(report) << '\n';
    else
        print_value("capacity", report, 0);
    return 0;
}

} // namespace almondcart
