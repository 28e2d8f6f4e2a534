#pragma once

#include <cstddef>

#include "gateway_settings.hpp"

namespace almondcart {

/// What clients may use in sum, derived from the memory and the descriptors in the settings.
/// docs/design/untrusted-clients.md states the account.
struct client_limits
{
    std::size_t buffer_bytes = 0;  ///< for buffers between clients and upstreams
    std::size_t overrun_bytes = 0; ///< beyond it, for buffers of up to 16 KiB each
    std::size_t connections = 0;   ///< from clients
    std::size_t streams = 0;       ///< connections from clients and to upstreams

    static client_limits of(gateway_settings const& settings);
};

} // namespace almondcart
