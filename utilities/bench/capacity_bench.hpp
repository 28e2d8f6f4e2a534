#pragma once

#include "bench_options.hpp"

namespace almondcart {

/// Measures the bytes and CPU time of state, records, messages and control traffic with the
/// product's own classes in this process, and prints JSON or a table to standard output. Returns
/// the exit code.
int run_capacity_bench(bench_options const& options);

} // namespace almondcart
