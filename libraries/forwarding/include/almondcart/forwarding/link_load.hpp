#pragma once

#include <almondcart/core/clock.hpp>

#include <cstdint>

namespace almondcart::forwarding {

struct link_load_settings
{
    double bytes_per_s = 0;            ///< link capacity in each direction; 0 means unknown
    duration window{500};              ///< time constant of the rate estimate
    double high_watermark = 0.5;       ///< utilization above which the link becomes overloaded
    double low_watermark = 0.3;        ///< utilization below which the overload may end
    duration min_overload_time{2'000}; ///< minimum duration of an overload
};

/// Detects when the network link of the VM is overloaded. The load balancer spreads clients
/// unevenly over VMs of different sizes, so a small VM can receive more traffic than its link
/// carries while other VMs have spare capacity.
class link_load
{
public:
    link_load(clock_function clock, link_load_settings settings);

    /// Updates the estimate from the total bytes that the process has received and sent.
    void update(std::uint64_t received_bytes, std::uint64_t sent_bytes);

    /// Whether clients should be directed to other VMs.
    bool is_overloaded() const { return is_overloaded_; }

    /// Utilization of the link in the busier direction, where 1 is its full capacity.
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
