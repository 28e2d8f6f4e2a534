#include <almondcart/forwarding/engine_chooser.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace almondcart::forwarding {

namespace {

/// Weight of the time to read the uncached part of a prompt. It exceeds 1, because reading again
/// what another engine has cached also delays the requests that follow; see
/// docs/design/load-queries.md.
constexpr double reading_weight = 3;

/// Cost of an engine whose slots are all taken, which is chosen only if all candidates are full.
constexpr double full_cost_ms = 1e6;

} // namespace

engine_chooser::engine_chooser(engine_chooser_settings settings)
    : settings_(std::move(settings))
{}

double engine_chooser::cost_ms(
    upstream const& target,
    engine_load const& load,
    prompt_info const& prompt) const
{
    auto const uncached = std::max<std::int64_t>(0, prompt.input_tokens - load.cached_tokens);
    double const own_ms = static_cast<double>(uncached) / load.tokens_per_ms;
    double const wait_ms = static_cast<double>(load.waiting_tokens) / load.tokens_per_ms;
    double const stall_ms = settings_.stall_share * own_ms * load.running;
    bool const is_same_zone = target.entry.availability_zone == settings_.availability_zone;
    double const zone_ms = is_same_zone ? 0 : static_cast<double>(settings_.zone_cost.count());
    double const full_ms = load.running >= target.entry.slots ? full_cost_ms : 0;
    return wait_ms + reading_weight * own_ms + stall_ms + zone_ms + full_ms;
}

upstream_pointer engine_chooser::choose(
    std::vector<engine_candidate> const& candidates,
    prompt_info const& prompt) const
{
    upstream_pointer best;
    double lowest = std::numeric_limits<double>::infinity();
    for (auto const& it : candidates)
    {
        if (!it.load)
            continue;
        auto const cost = cost_ms(*it.target, *it.load, prompt);
        if (cost >= lowest)
            continue;
        lowest = cost;
        best = it.target;
    }
    return best;
}

} // namespace almondcart::forwarding
