#pragma once

#include <json/json.h>

#include <cstdint>

namespace almondcart {

/// Runs every policy over one trace at `load` times the capacity. Returns
/// `{"name":..,"policies":[..]}`.
Json::Value run_load_scenario(std::uint64_t seed, double load);

/// Makes half of the upstreams fail all requests for a while, and measures the load amplification
/// by retries.
Json::Value run_brown_out_scenario(std::uint64_t seed);

} // namespace almondcart
