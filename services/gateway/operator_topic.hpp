#pragma once

#include <almondcart/forwarding/drained_zones.hpp>
#include <almondcart/platform/topic_follower.hpp>

#include <cstdint>
#include <functional>
#include <string>

namespace almondcart {

/// Follows the operator's topic: the configuration and the drained zones.
class operator_topic
{
public:
    using configuration_function = std::function<void(std::string const& text, std::int64_t)>;

    /// `on_configuration` is called with each configuration record and its offset. All references
    /// must outlive this object.
    operator_topic(
        event_loop& loop,
        platform::store_client& store,
        std::uint64_t seed,
        forwarding::drained_zones& drained,
        configuration_function on_configuration);

    void start() { follower_.start(); }

private:
    platform::topic_follower::hooks create_hooks();
    void
    apply_snapshot(std::map<std::string, platform::keyed_record> const& records, std::int64_t end);
    void apply(platform::keyed_record const& record);

    forwarding::drained_zones& drained_;
    configuration_function on_configuration_;
    platform::topic_follower follower_;
};

} // namespace almondcart
