#pragma once

#include <almondcart/forwarding/request_features.hpp>
#include <almondcart/forwarding/upstream_process.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondcart::forwarding {

/// What one gateway tells the others about requests that crash upstreams.
struct crash_record
{
    /// Each VM writes its records to this many keys in turn, so that what it has on the log is
    /// bounded.
    static constexpr int slot_count = 64;

    std::string vm;
    int slot = 0;
    std::string service;
    std::int64_t wall_time_ms = 0;

    /// Process that crashed while it ran `requests`. If there is none, an upstream has answered
    /// requests with these features.
    std::optional<upstream_process> crashed;
    std::vector<feature_list> requests;

    /// Key of the record in its topic.
    std::string key() const;
    std::string value() const;

    /// Returns `malformed_request` if the record does not have the expected format.
    static absl::StatusOr<crash_record> parse(std::string_view key, std::string_view value);
};

} // namespace almondcart::forwarding
