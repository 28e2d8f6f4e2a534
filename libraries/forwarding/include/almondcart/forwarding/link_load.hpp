#pragma once

#include <almondcart/core/clock.hpp>

#include <cstdint>

namespace almondcart::forwarding {

struct link_load_settings
{
    double bytes_per_s = 0;            ///< that the VM's link carries each way; 0: not known
    duration window{500};              ///< time constant of the estimate
    double high_watermark = 0.5;       ///< part of the link from which on it is overloaded,
    double low_watermark = 0.3;        ///< until it falls below this one
    duration min_overload_time{2'000}; ///< for which it stays overloaded at least
};

/// Judges whether the VM's link carries more than it can without delay. Pattern: the load balancer
/// spreads callers unevenly over VMs of unequal size, so that a small one gets more than its link
/// can pass on, while others have room.
class link_load
{
public:
    link_load(clock_function clock, link_load_settings settings);

    /// Takes the bytes that the process has received and sent since its start.
    void update(std::uint64_t received_bytes, std::uint64_t sent_bytes);

    /// Whether callers should go to other VMs.
    bool is_overloaded() const { return is_overloaded_; }

    /// Part of the link that is used in the busier direction.
    double utilization() const;

private:
    clock_function clock_;
    link_load_settings settings_;
    std::uint64_t received_bytes_ = 0;
    std::uint64_t sent_bytes_ = 0;
    double received_per_s_ = 0;
    double sent_per_s_ = 0;
    instant updated_;
    instant overloaded_since_{};
    bool is_overloaded_ = false;
};

} // namespace almondcart::forwarding
