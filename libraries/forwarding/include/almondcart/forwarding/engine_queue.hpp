#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/forwarding/prompt_info.hpp>

#include <cstddef>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace almondcart::forwarding {

/// Load of an engine, and how much of one prompt it has cached.
struct engine_load
{
    std::int64_t waiting_tokens = 0; ///< uncached tokens of prompts without a first event
    std::int64_t cached_tokens = 0;  ///< of the leading parts of the prompt in question
    int running = 0;                 ///< requests between their first event and their end
    double tokens_per_ms = 0;        ///< speed at which prompts are read

    bool operator==(engine_load const&) const = default;
};

/// Work of one engine, as all gateways announce it to the process beside the engine. Unlike a
/// gateway's own view it contains the requests of the other gateways; unlike the engine's report it
/// contains prompts that are still on their way.
class engine_queue
{
public:
    explicit engine_queue(clock_function clock);

    engine_load load_for(prompt_info const& prompt);

    /// A gateway sends the request to the engine.
    void announce(std::string const& request, prompt_info const& prompt);

    /// The first event of the request has arrived.
    void record_prompt_read(std::string const& request);

    /// The request has ended, with or without a response.
    void record_end(std::string const& request);

    std::size_t size() const { return requests_.size(); }

private:
    struct entry
    {
        std::int64_t waiting_tokens = 0; ///< 0 once the prompt has been read
        instant announced;
    };

    std::int64_t cached_tokens(prompt_info const& prompt) const;
    void update_speed();
    void remove_waiting(entry& it);
    void expire();

    clock_function clock_;
    std::unordered_map<std::string, entry> requests_;
    std::unordered_map<std::uint64_t, instant> cached_parts_; ///< last use
    std::int64_t waiting_tokens_ = 0;
    int waiting_ = 0;
    instant expired_at_{};

    // Speed: tokens read per millisecond in which prompts were waiting, with older times fading.
    double tokens_per_ms_;
    double read_tokens_ = 0;
    instant busy_since_{};
};

} // namespace almondcart::forwarding
