#pragma once

#include <almondcart/forwarding/gateway_registry.hpp>
#include <almondcart/forwarding/log_writer.hpp>
#include <almondcart/platform/topic_follower.hpp>

#include <string>

namespace almondcart {

/// Makes this gateway known to the others through a topic of the store, and follows the topic.
class gateway_announcement
{
public:
    /// All references must outlive this object.
    gateway_announcement(event_loop& loop, platform::store_client& store, std::string vm);

    void start();

    /// Writes what is due. Must be called periodically.
    void tick();

    /// Removes this gateway's record. To be called once it sends nothing more.
    void withdraw();

    /// Whether the record is removed, or cannot be.
    bool is_withdrawn() const { return is_withdrawn_ || writer_.is_fenced(); }

    forwarding::gateway_registry const& registry() const { return registry_; }

private:
    using writer = forwarding::log_writer<forwarding::gateway_record>;

    writer::hooks create_writer_hooks(event_loop& loop);
    platform::topic_follower::hooks create_follower_hooks();

    platform::store_client& store_;
    std::string vm_;
    std::int64_t started_ms_;
    forwarding::gateway_registry registry_;
    writer writer_;
    bool is_withdrawing_ = false;
    bool is_withdrawn_ = false;
    platform::topic_follower follower_;
};

} // namespace almondcart
