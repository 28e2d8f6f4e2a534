#pragma once

#include <cstdint>
#include <string>

namespace almondcart::test_support {

/// Configuration of the platform with the service "models", one client account "club" and a route
/// for each kind of request: /safe/, /unsafe/, /stream/ and /resume/.
struct club_configuration
{
    int version = 1;
    std::int64_t prepaid_tokens = 0;
    std::string key = "key-1";
    int route_timeout_ms = 2000;
    int cold_per_second = 0; ///< that a cold upstream tolerates; 0: no limit

    /// Returns the configuration as JSON text.
    std::string text() const;
};

} // namespace almondcart::test_support
