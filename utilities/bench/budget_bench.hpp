#pragma once

#include "bench_options.hpp"

namespace almondcart {

/// Runs the scenarios of the budget library and its baselines over the same seeded traces, and
/// prints JSON or a table on standard output. Returns the exit code.
int run_budget_bench(bench_options const& options);

} // namespace almondcart
