#pragma once

#include <json/json.h>

#include <cstdint>

namespace almondcart {

/// One request crashes each upstream that runs it, and its caller sends it through every router
/// again and again. Returns `{"name":..,"policies":[..]}`.
Json::Value run_crash_scenario(std::uint64_t seed);

} // namespace almondcart
