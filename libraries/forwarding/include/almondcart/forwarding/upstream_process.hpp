#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace almondcart::forwarding {

/// One process of an upstream. A process that starts anew under the same id is another one.
struct upstream_process
{
    std::string id;
    std::int64_t started_ms = 0; ///< Unix time

    // clang-tidy 14 mistakes the zero in rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(upstream_process const&) const = default;
};

} // namespace almondcart::forwarding
