#include <almondcart/forwarding/token_demand.hpp>

#include <cmath>

namespace almondcart::forwarding {

namespace {

/// Time constants of the two averages.
constexpr duration recent_window{2'000};
constexpr duration long_window{10'000};

constexpr double milliseconds_per_second = 1000;

} // namespace

void token_demand::start(double per_s, instant now)
{
    recent_per_s_ = per_s;
    long_per_s_ = per_s;
    updated_ = now;
}

void token_demand::update(instant now)
{
    auto const elapsed = now - updated_;
    if (elapsed <= duration(0))
        return;
    auto const ms = static_cast<double>(elapsed.count());
    double const rate = window_tokens_ * milliseconds_per_second / ms;
    auto const update_average = [&](double& estimate, duration window)
    {
        double const decay = std::exp(-ms / static_cast<double>(window.count()));
        estimate = estimate * decay + rate * (1 - decay);
    };
    update_average(recent_per_s_, recent_window);
    update_average(long_per_s_, long_window);
    window_tokens_ = 0;
    updated_ = now;
}

} // namespace almondcart::forwarding
