#include <almondcart/core/status.hpp>
#include <almondcart/gate/order_fence.hpp>

#include <algorithm>
#include <string>

namespace almondcart {

void order_fence::set_configuration_offset(std::int64_t offset)
{
    highest_ = std::max(highest_.value_or(offset), offset);
}

absl::Status order_fence::accept(std::int64_t fencing_number)
{
    if (!highest_)
        return make_status(
            result_code::not_ready,
            "the agent has not received the configuration of its upstream yet");
    if (!does_upstream_check_ && fencing_number < *highest_)
        return make_status(
            result_code::stale_fencing_number,
            "fencing number " + std::to_string(fencing_number) + " is below " +
                std::to_string(*highest_));
    highest_ = std::max(*highest_, fencing_number);
    return absl::OkStatus();
}

} // namespace almondcart
