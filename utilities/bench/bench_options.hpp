#pragma once

#include <cstdint>
#include <string>

namespace almondcart {

/// Command line of `almondcart-bench`.
struct bench_options
{
    std::uint64_t seed = 1;
    bool is_json = false;
    int routers = 3;      ///< of the budget bench
    std::string scenario; ///< of the budget bench; empty for all
    std::string policy;   ///< of the budget bench; empty for all
};

} // namespace almondcart
