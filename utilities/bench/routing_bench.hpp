#pragma once

#include <cstdint>

namespace almondcart {

/// Runs the product's routing policies and the baselines over the same seeded traces and prints
/// JSON or a table to standard output. Returns the exit code.
int run_routing_bench(std::uint64_t seed, bool is_json);

} // namespace almondcart
