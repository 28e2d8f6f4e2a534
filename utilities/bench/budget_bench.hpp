#pragma once

#include "bench_options.hpp"

namespace almondcart {

/// Runs the product's budget policy and the baselines over the same seeded traces and prints JSON
/// or a table to standard output. Returns the exit code.
int run_budget_bench(bench_options const& options);

} // namespace almondcart
