#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/forwarding/prompt_info.hpp>
#include <almondcart/forwarding/upstream_directory.hpp>
#include <almondcart/forwarding/upstream_health.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace almondcart::forwarding {

struct upstream_picker_settings
{
    std::string availability_zone;
    std::uint64_t seed = 1;

    /// Uncached tokens whose reading an engine may do extra to avoid another availability zone.
    std::int64_t zone_penalty_tokens = 1500;

    /// Tokens that stand for the load of one running request of an engine.
    std::int64_t running_request_tokens = 40;

    /// How long the picker believes that a prompt part stays in an engine's cache after its use.
    duration cache_ttl{8000};
};

/// Work for which an upstream is wanted.
struct pick_request
{
    std::string_view service;
    prompt_info const* prompt = nullptr;                ///< null for a plain service
    std::vector<std::string> const* excluded = nullptr; ///< ids of upstreams that were tried
};

/// Work of this router on one upstream, until it is released.
class in_flight_guard;

/// Chooses upstreams. For engines it weighs the prompt tokens that would have to be read, those
/// already waiting there, running requests and the availability zone; requests that share a prompt
/// prefix meet at the upstream that a rendezvous hash names, on all routers without a message. For
/// plain services it takes the upstream with the fewest requests of this router.
class upstream_picker
{
public:
    upstream_picker(
        clock_function clock,
        upstream_picker_settings settings,
        upstream_directory const& directory);

    /// Best upstream, null if the service has none that accepts work.
    upstream_pointer pick(pick_request const& request);

    /// Counts a request that is sent to `target`.
    std::unique_ptr<in_flight_guard> begin(upstream_pointer target, prompt_info const* prompt);

    void record(upstream const& target, attempt_result result);

    /// Forgets upstreams that are gone.
    void forget(std::string const& id) { states_.erase(id); }

private:
    friend class in_flight_guard;

    struct upstream_state
    {
        int in_flight = 0;
        std::int64_t waiting_tokens = 0; ///< of prompts without a first event yet
        upstream_health health;
        std::unordered_map<std::uint64_t, instant> cached_parts; ///< last use by this router
    };

    double
    cost(upstream const& candidate, upstream_state const& state, pick_request const& request);
    std::int64_t
    uncached_tokens(upstream_state const& state, prompt_info const& prompt, bool is_home) const;
    upstream_pointer
    home_of(std::vector<upstream_pointer> const& candidates, prompt_info const& prompt);
    upstream_state& state_of(std::string const& id) { return states_[id]; }
    void remember_parts(upstream_state& state, prompt_info const& prompt);

    clock_function clock_;
    upstream_picker_settings settings_;
    upstream_directory const& directory_;
    std::unordered_map<std::string, upstream_state> states_;
    std::uint64_t random_;
};

class in_flight_guard
{
public:
    in_flight_guard(upstream_picker& picker, upstream_pointer target, prompt_info const* prompt);
    ~in_flight_guard();
    in_flight_guard(in_flight_guard const&) = delete;
    in_flight_guard& operator=(in_flight_guard const&) = delete;

    /// The upstream has read the prompt.
    void set_prompt_read();

    upstream const& target() const { return *target_; }
    upstream_pointer const& pointer() const { return target_; }

private:
    upstream_picker& picker_;
    upstream_pointer target_;
    std::int64_t waiting_tokens_ = 0;
};

} // namespace almondcart::forwarding
