#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/forwarding/cold_start_limiter.hpp>
#include <almondcart/forwarding/drained_zones.hpp>
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

    /// Cost of another availability zone, in uncached prompt tokens.
    std::int64_t zone_penalty_tokens = 1500;

    /// Cost of a cold engine, in uncached prompt tokens.
    std::int64_t cold_penalty_tokens = 4000;

    /// Cost of one running request on an engine, in uncached prompt tokens.
    std::int64_t running_request_tokens = 40;

    /// Time for which a prompt part is assumed to stay in an engine's cache after its use.
    duration cache_ttl{8000};
};

/// Parameters of an upstream selection.
struct pick_request
{
    std::string_view service;
    prompt_info const* prompt = nullptr;                ///< null for a service without engines
    std::vector<std::string> const* excluded = nullptr; ///< ids of upstreams already tried
};

class in_flight_guard;

/// Receives the course of requests to engines, for those who share their load.
struct engine_request_hooks
{
    std::function<void(upstream const&, std::string const& request, prompt_info const&)> on_begin;
    std::function<void(upstream const&, std::string const& request)> on_prompt_read;
    std::function<void(upstream const&, std::string const& request)> on_end;
};

/// Selects upstreams. For engines the cost of a candidate is the uncached prompt tokens, those
/// already queued there, the running requests and the availability zone. Requests that share a
/// prompt prefix prefer the upstream chosen by rendezvous hashing, which all gateways compute
/// without coordination. For other services the upstream with the fewest requests of this gateway
/// is selected.
class upstream_picker
{
public:
    /// All references and pointers must outlive this object.
    upstream_picker(
        clock_function clock,
        upstream_picker_settings settings,
        upstream_directory const& directory,
        drained_zones const* drained = nullptr,
        cold_start_limiter* cold_starts = nullptr);

    /// Returns the best upstream, or null if the service has none that accepts work now.
    upstream_pointer pick(pick_request const& request);

    /// Returns up to `limit` upstreams among which the best is likely to be: the one that `pick`
    /// would return, those that may have cached the prompt, and others at random, so that gateways
    /// with the same view do not all select one upstream.
    std::vector<upstream_pointer> shortlist(pick_request const& request, std::size_t limit);

    /// Whether a new request may be sent to the upstream now. Blocks do not count, because they are
    /// guesses of this gateway.
    bool is_usable(upstream const& candidate, instant now) const;

    /// Whether the service has upstreams that accept work and all of them are in drained zones.
    bool is_drained(std::string_view service) const;

    /// Returns when the first pause ends if all upstreams of the service that accept work, outside
    /// of drained zones, are paused, or nothing if one is not.
    std::optional<instant> common_pause_end(std::string_view service) const;

    /// Registers a request to `target` until the returned guard is destroyed.
    std::unique_ptr<in_flight_guard>
    begin(upstream_pointer target, std::string const& request, prompt_info const* prompt);

    void set_hooks(engine_request_hooks hooks) { hooks_ = std::move(hooks); }

    void record(upstream const& target, attempt_result result);

    /// Drops the state of an upstream that was removed.
    void forget(std::string const& id) { states_.erase(id); }

private:
    friend class in_flight_guard;

    struct upstream_state
    {
        int in_flight = 0;
        std::int64_t waiting_tokens = 0; ///< uncached tokens of prompts without a first event yet
        upstream_health health;
        std::unordered_map<std::uint64_t, instant> cached_parts; ///< last use by this gateway
    };

    bool is_cold(upstream const& candidate) const;
    bool is_drained(upstream const& candidate) const;

    double
    cost(upstream const& candidate, upstream_state const& state, pick_request const& request);
    std::vector<upstream_pointer> available(pick_request const& request);
    upstream_pointer
    cheapest(std::vector<upstream_pointer> const& candidates, pick_request const& request);
    std::uint64_t next_random();
    std::int64_t uncached_tokens(
        upstream_state const& state,
        prompt_info const& prompt,
        bool is_preferred) const;
    upstream_pointer
    affinity_target(std::vector<upstream_pointer> const& candidates, prompt_info const& prompt);
    upstream_state& state_of(std::string const& id) { return states_[id]; }
    void remember_parts(upstream_state& state, prompt_info const& prompt);

    clock_function clock_;
    upstream_picker_settings settings_;
    upstream_directory const& directory_;
    drained_zones const* drained_;    ///< null if there are none
    cold_start_limiter* cold_starts_; ///< null if nothing is limited
    std::unordered_map<std::string, upstream_state> states_;
    std::uint64_t random_;
    engine_request_hooks hooks_;
};

/// Counts one request of this gateway as load of its upstream until it is destroyed.
class in_flight_guard
{
public:
    in_flight_guard(
        upstream_picker& picker,
        upstream_pointer target,
        std::string const& request,
        prompt_info const* prompt);
    ~in_flight_guard();
    in_flight_guard(in_flight_guard const&) = delete;
    in_flight_guard& operator=(in_flight_guard const&) = delete;

    /// Marks the prompt as processed by the upstream.
    void set_prompt_read();

    upstream const& target() const { return *target_; }
    upstream_pointer const& pointer() const { return target_; }

private:
    void release_waiting_tokens();

    upstream_picker& picker_;
    upstream_pointer target_;
    std::string request_; ///< empty if the upstream is no engine
    std::int64_t waiting_tokens_ = 0;
    bool is_prompt_read_ = false;
};

} // namespace almondcart::forwarding
