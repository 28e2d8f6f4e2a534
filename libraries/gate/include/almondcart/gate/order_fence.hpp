#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <optional>

namespace almondcart {

/// Refuses orders whose fencing number is below the highest accepted one, on behalf of an upstream
/// that does not check fencing numbers. For an upstream that does, every order passes with its
/// number.
class order_fence
{
public:
    explicit order_fence(bool does_upstream_check)
        : does_upstream_check_(does_upstream_check)
    {}

    /// Sets the offset of the newest publish record known for this upstream. After a restart, the
    /// agent no longer knows the orders it accepted, and this offset is a lower bound for them.
    void set_configuration_offset(std::int64_t offset);

    /// Returns `not_ready` until the configuration offset is known, and `stale_fencing_number` for
    /// an order older than an accepted one. An accepted number must be passed to the upstream.
    absl::Status accept(std::int64_t fencing_number);

    std::optional<std::int64_t> highest_number() const { return highest_; }

private:
    bool does_upstream_check_;
    std::optional<std::int64_t> highest_;
};

} // namespace almondcart
