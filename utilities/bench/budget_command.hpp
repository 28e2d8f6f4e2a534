#pragma once

namespace almondcart::bench {

/// `almondcart-bench budget`. Returns the exit code.
int run_budget_command(int argc, char** argv);

} // namespace almondcart::bench
