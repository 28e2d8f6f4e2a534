#pragma once

#include <almondcart/core/instant.hpp>

#include <json/json.h>

#include <cstdint>

namespace almondcart::bench {

/// Runs this many routers at the request rate per router of the target size, with real log clients,
/// folds and budget holders over a log in memory, and measures records, bytes and processor time in
/// the `window` of virtual time that follows `warm_up`.
Json::Value measure_fleet(int routers, std::uint64_t seed, duration warm_up, duration window);

} // namespace almondcart::bench
