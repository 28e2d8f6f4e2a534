#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/forwarding/request_features.hpp>

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_set>

namespace almondcart::forwarding {

struct answered_features_settings
{
    /// Features are remembered for at least half of this time after their last answer.
    duration retention{60'000};

    /// Remembered features.
    std::size_t capacity = 8192;
};

/// Features of requests that were answered lately. Time and memory of each operation are bounded:
/// features are kept in two generations, and the older one is dropped as a whole.
class answered_features
{
public:
    answered_features(answered_features_settings settings, clock_function clock);

    void add(std::string_view service, request_feature const& feature);
    bool contains(std::string_view service, request_feature const& feature);

private:
    void rotate_if_due();

    answered_features_settings settings_;
    clock_function clock_;
    std::unordered_set<std::uint64_t> newer_; ///< hashes of service and feature
    std::unordered_set<std::uint64_t> older_;
    instant rotated_at_;
};

} // namespace almondcart::forwarding
