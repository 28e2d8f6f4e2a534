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
        auto const figures = fleet.run();
        Json::Value value;
        value["name"] = name_of(policy);
        value["upstreams_brought_down"] = Json::UInt64(figures.brought_down.size());
        value["crashes"] = figures.crashes;
        value["innocent_requests"] = figures.innocent;
        value["innocent_completed"] = figures.innocent_completed;
        value["innocent_refused"] = figures.innocent_refused;
        value["dispatches"] = figures.dispatches;
        value["placement_questions"] = figures.placement_questions;
        scenario["policies"].append(value);
    }
    return scenario;
}

} // namespace almondcart
