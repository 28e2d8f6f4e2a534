#include "routing_bench.hpp"

#include <almondcart/core/json.hpp>

#include <iomanip>
#include <iostream>

#include "crash_scenario.hpp"
#include "load_scenario.hpp"

namespace almondcart {

namespace {

void print_member(std::string const& name, Json::Value const& value)
{
    if (name == "name")
        return;
    std::cout << "    " << std::left << std::setw(32) << name;
    if (!value.isObject())
    {
        std::cout << value.asString() << '\n';
        return;
    }
    for (auto const& key : value.getMemberNames())
        std::cout << key << ": " << std::setw(8) << value[key].asString();
    std::cout << '\n';
}

void print_table(Json::Value const& report)
{
    for (auto const& scenario : report["scenarios"])
    {
        std::cout << scenario["name"].asString() << '\n';
        for (auto const& policy : scenario["policies"])
        {
            std::cout << "  " << policy["name"].asString() << '\n';
            for (auto const& name : policy.getMemberNames())
                print_member(name, policy[name]);
        }
    }
}

} // namespace

int run_routing_bench(std::uint64_t seed, bool is_json)
{
    Json::Value report;
    report["seed"] = Json::UInt64(seed);
    for (double const load : {0.7, 1.0, 1.5})
        report["scenarios"].append(run_load_scenario(seed, load));
    report["scenarios"].append(run_brown_out_scenario(seed));
    report["scenarios"].append(run_crash_scenario(seed));
    if (is_json)
        std::cout << to_compact_json(report) << '\n';
    else
        print_table(report);
    return 0;
}

} // namespace almondcart
