#pragma once

#include "bench_options.hpp"

namespace almondcart {

/// Measures what state, records, messages and control work cost in bytes and processor time, with
/// the product's own objects in this process, and prints JSON or a table on standard output.
/// Returns the exit code.
int run_capacity_bench(bench_options const& options);

} // namespace almondcart
