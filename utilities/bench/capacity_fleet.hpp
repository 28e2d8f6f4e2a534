#pragma once

#include <almondcart/core/instant.hpp>

#include <json/json.h>

#include <cstdint>

namespace almondcart::bench {

/// Runs routers at the per-router request rate of the target size, with the product's log clients,
/// shard states and budget holders over an in-memory log. Measures records, bytes and CPU time in
/// the `window` of virtual time that follows `warm_up`.
Json::Value measure_fleet(int routers, std::uint64_t seed, duration warm_up, duration window);

} // namespace almondcart::bench
