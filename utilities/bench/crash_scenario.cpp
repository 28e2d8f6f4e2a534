#include "crash_scenario.hpp"

namespace almondcart {

Json::Value run_crash_scenario(std::uint64_t seed)
{
    Json::Value scenario;
    scenario["name"] = "crash_request";
    scenario["policies"] = Json::Value(Json::arrayValue);
    static_cast<void>(seed);
    return scenario;
}

} // namespace almondcart
