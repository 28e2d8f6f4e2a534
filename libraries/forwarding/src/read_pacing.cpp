#include <almondcart/forwarding/read_pacing.hpp>

#include <algorithm>

namespace almondcart::forwarding {

namespace {

/// Of the excess over the usual pause, an answer leaves one part in this many. A slower return
/// gains little at a start of many gateways; see docs/design/read_pacing.md.
constexpr std::int64_t excess_divisor = 2;

} // namespace

read_pacing::read_pacing(read_pacing_settings settings)
    : settings_(settings)
    , random_(settings.seed)
    , pause_(settings.pause)
{
    settings_.max_pause = std::max(settings_.max_pause, settings_.pause);
}

void read_pacing::answered()
{
    backoff_ = duration(0);
    pause_ = settings_.pause + (pause_ - settings_.pause) / excess_divisor;
}

duration read_pacing::overloaded(bool is_awaited)
{
    pause_ = std::clamp(
        pause_ * 2, std::min(settings_.initial_backoff, settings_.max_pause), settings_.max_pause);
    if (is_awaited)
        return back_off(settings_.max_awaited_backoff);
    return random_.between(pause_ / 2, pause_);
}

duration read_pacing::failed()
{
    return back_off(settings_.max_backoff);
}

duration read_pacing::back_off(duration limit)
{
    backoff_ = std::clamp(backoff_ * 2, std::min(settings_.initial_backoff, limit), limit);
    return random_.between(backoff_ / 2, backoff_);
}

} // namespace almondcart::forwarding
