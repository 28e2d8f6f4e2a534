#include "crash_scenario.hpp"

#include "crash_fleet.hpp"

namespace almondcart {

Json::Value run_crash_scenario(std::uint64_t seed)
{
    Json::Value scenario;
    scenario["name"] = "crash_request";
    for (auto const policy :
         {crash_policy::product, crash_policy::routers_only, crash_policy::no_rule})
    {
        crash_fleet fleet(policy, seed);
        auto const statistics = fleet.run();
        Json::Value value;
        value["name"] = name_of(policy);
        value["upstreams_brought_down"] = Json::UInt64(statistics.brought_down.size());
        value["crashes"] = statistics.crashes;
        value["innocent_requests"] = statistics.innocent;
        value["innocent_completed"] = statistics.innocent_completed;
        value["innocent_refused"] = statistics.innocent_refused;
        value["dispatches"] = statistics.dispatches;
        value["placement_questions"] = statistics.placement_questions;
        scenario["policies"].append(value);
    }
    return scenario;
}

} // namespace almondcart
