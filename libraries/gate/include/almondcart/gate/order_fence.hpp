#pragma once

#include <absl/status/status.h>

#include <cstdint>
#include <optional>

namespace almondcart {

/// Refuses orders with a fencing number below the highest seen, on behalf of an upstream that does
/// not check. For an upstream that checks, each order passes with its number.
class order_fence
{
public:
    explicit order_fence(bool does_upstream_check)
        : does_upstream_check_(does_upstream_check)
    {}

    /// Offset of the newest publish record that the agent knows for this upstream. A restarted
    /// agent has forgotten the orders it saw; it relearns a lower bound from here.
    void set_configuration_offset(std::int64_t offset);

    /// Errors: `not_ready` before the configuration offset is known, `stale_fencing_number` for an
    /// order that a newer one has overtaken. The accepted number must be passed to the upstream.
    absl::Status accept(std::int64_t fencing_number);

    std::optional<std::int64_t> highest_number() const { return highest_; }

private:
    bool does_upstream_check_;
    std::optional<std::int64_t> highest_;
};

} // namespace almondcart
