#pragma once

#include <json/json.h>

#include <cstdint>

namespace almondcart {

/// Runs every policy over one trace at `load` times the capacity. Returns
/// `{"name":..,"policies":[..]}`.
Json::Value run_load_scenario(std::uint64_t seed, double load);

/// Half of the upstreams fail each request for a while; measures how retries multiply the load.
Json::Value run_brown_out_scenario(std::uint64_t seed);

} // namespace almondcart
