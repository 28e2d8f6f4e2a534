#pragma once

#include <cstdint>

namespace almondcart {

/// Runs the scenarios of the routing library and its baselines over the same seeded traces, and
/// prints JSON or a table on standard output. Returns the exit code.
int run_routing_bench(std::uint64_t seed, bool is_json);

} // namespace almondcart
