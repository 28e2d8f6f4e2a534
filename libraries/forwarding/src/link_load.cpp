#include <almondcart/forwarding/link_load.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondcart::forwarding {

link_load::link_load(clock_function clock, link_load_settings settings)
    : clock_(std::move(clock))
    , settings_(settings)
    , updated_(clock_())
{}

double link_load::utilization() const
{
    return settings_.bytes_per_s > 0
               ? std::max(received_per_s_, sent_per_s_) / settings_.bytes_per_s
               : 0;
}

void link_load::update(std::uint64_t received_bytes, std::uint64_t sent_bytes)
{
    auto const now = clock_();
    auto const elapsed_s = std::chrono::duration<double>(now - updated_).count();
    if (elapsed_s <= 0)
        return;
    auto const window_s = std::chrono::duration<double>(settings_.window).count();
    double const decay = std::exp(-elapsed_s / window_s);
    auto const update_average =
        [&](double& rate, std::uint64_t& previous_total, std::uint64_t total)
    {
        auto const bytes = static_cast<double>(total - std::exchange(previous_total, total));
        rate = rate * decay + bytes / elapsed_s * (1 - decay);
    };
    update_average(received_per_s_, received_bytes_, received_bytes);
    update_average(sent_per_s_, sent_bytes_, sent_bytes);
    updated_ = now;
    if (!is_overloaded_ && utilization() > settings_.high_watermark)
    {
        is_overloaded_ = true;
        overloaded_since_ = now;
    }
    else if (
        is_overloaded_ && utilization() < settings_.low_watermark &&
        now - overloaded_since_ >= settings_.min_overload_time)
    {
        is_overloaded_ = false;
    }
}

} // namespace almondcart::forwarding
