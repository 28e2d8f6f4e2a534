#pragma once

#include <almondcart/forwarding/prepaid_holder.hpp>
#include <almondcart/platform/topic_follower.hpp>

#include <functional>
#include <string>
#include <vector>

namespace almondcart {

/// Connects a `prepaid_holder` to its topic on the platform's log.
class prepaid_log
{
public:
    prepaid_log(
        event_loop& loop,
        platform::store_client& store,
        std::string topic,
        forwarding::prepaid_holder_settings settings,
        forwarding::prepaid_holder::total_function total,
        forwarding::token_transfer_client& peers);

    void start() { follower_.start(); }
    forwarding::prepaid_holder& holder() { return holder_; }
    bool is_synced() const { return follower_.is_synced(); }

private:
    platform::topic_follower::hooks create_hooks();
    void append(
        forwarding::draw_append const& append,
        std::function<void(forwarding::append_result)> const& done);
    void apply(platform::keyed_record const& record);

    platform::store_client& store_;
    forwarding::token_transfer_client& peers_;
    std::string topic_;
    std::string producer_; ///< identifies this VM's appends, which the store applies in order
    forwarding::prepaid_holder holder_;
    platform::topic_follower follower_;
};

} // namespace almondcart
