#pragma once

#include <cstdint>
#include <string>

namespace almondcart {

/// Command line options of `almondcart-bench`.
struct bench_options
{
    std::uint64_t seed = 1;
    bool is_json = false;
    int routers = 3;      ///< for the budget bench
    std::string scenario; ///< for the budget bench; empty runs all
    std::string policy;   ///< for the budget bench; empty runs all
};

} // namespace almondcart
