#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/forwarding/engine_queue.hpp>
#include <almondcart/forwarding/prompt_info.hpp>
#include <almondcart/forwarding/upstream_directory.hpp>

#include <optional>
#include <string>
#include <vector>

namespace almondcart::forwarding {

struct engine_chooser_settings
{
    std::string availability_zone;

    /// Time to the first event that must be saved to leave the availability zone.
    duration zone_cost{30};

    /// Delay that each running request suffers for a millisecond of prompt reading, as a share,
    /// because engines read prompts between the steps of running requests.
    double stall_share = 0.1;
};

/// Engine that was asked for its load.
struct engine_candidate
{
    upstream_pointer target;
    std::optional<engine_load> load; ///< nothing if it has not answered
};

/// Chooses an engine by the predicted time to a request's first event and the delay that its prompt
/// causes to the requests that run there.
class engine_chooser
{
public:
    explicit engine_chooser(engine_chooser_settings settings);

    /// Returns the cheapest candidate, or null if none has answered.
    upstream_pointer
    choose(std::vector<engine_candidate> const& candidates, prompt_info const& prompt) const;

    /// Cost of one engine in milliseconds.
    double
    cost_ms(upstream const& target, engine_load const& load, prompt_info const& prompt) const;

private:
    engine_chooser_settings settings_;
};

} // namespace almondcart::forwarding
