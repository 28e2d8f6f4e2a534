#include <almondcart/forwarding/token_demand.hpp>

#include <algorithm>
#include <cmath>

namespace almondcart::forwarding {

namespace {

/// Time constants of the two averages.
constexpr duration recent_window{2'000};
constexpr duration long_window{10'000};

constexpr double milliseconds_per_second = 1000;

/// The demand of a shorter time is not extrapolated, because it may be a single request.
constexpr duration min_observation{2'000};

/// Returns the weight in an exponential average of values that are `age` old at most.
double weight(duration age, duration window)
{
    return 1 - std::exp(-static_cast<double>(age.count()) / static_cast<double>(window.count()));
}

} // namespace

void token_demand::start(double per_s, instant now)
{
    recent_per_s_ = per_s;
    long_per_s_ = per_s;
    begin_.reset();
    updated_ = now;
}

void token_demand::update(instant now)
{
    if (!updated_)
    {
        if (window_tokens_ <= 0)
            return;
        begin_ = now;
        updated_ = now;
    }
    auto const elapsed = now - *updated_;
    if (elapsed <= duration(0))
        return;
    auto const ms = static_cast<double>(elapsed.count());
    double const rate = window_tokens_ * milliseconds_per_second / ms;
    auto const update_average = [&](double& estimate, duration window)
    {
        double const share = weight(elapsed, window);
        estimate = estimate * (1 - share) + rate * share;
    };
    update_average(recent_per_s_, recent_window);
    update_average(long_per_s_, long_window);
    window_tokens_ = 0;
    updated_ = now;
}

double token_demand::per_s() const
{
    if (!begin_)
        return std::max(recent_per_s_, long_per_s_);
    auto const observed = std::max(min_observation, *updated_ - *begin_);
    return std::max(
        recent_per_s_ / weight(observed, recent_window),
        long_per_s_ / weight(observed, long_window));
}

} // namespace almondcart::forwarding
