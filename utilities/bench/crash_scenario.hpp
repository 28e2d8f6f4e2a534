#pragma once

#include <json/json.h>

#include <cstdint>

namespace almondcart {

/// Runs a fleet in which one request crashes each upstream that runs it, while its client repeats
/// it through every router. Returns `{"name":..,"policies":[..]}`.
Json::Value run_crash_scenario(std::uint64_t seed);

} // namespace almondcart
