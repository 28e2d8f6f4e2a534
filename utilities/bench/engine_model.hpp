#pragma once

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <set>
#include <vector>

#include "routing_trace.hpp"
#include "virtual_time.hpp"

namespace almondcart {

/// Request at an engine, with callbacks for its progress.
struct engine_job
{
    bench_request const* request = nullptr;
    std::function<void(bool has_cache_hit)> first_token;
    std::function<void()> ended;
};

/// Model of an inference engine with continuous batching: a fixed number of slots, a priority
/// queue, sequential prefills, a time per token that grows with the batch, and an LRU cache of
/// prompt prefixes.
class engine_model
{
public:
    static constexpr std::size_t cache_capacity = 20;

    /// Calls `cache_changed` whenever a prefix is stored or evicted.
    engine_model(
        virtual_time& time,
        int slots,
        std::function<void(int prefix_group, bool is_stored)> cache_changed);

    void submit(engine_job job);

    int running() const { return running_; }
    int queued() const { return static_cast<int>(queue_.size()); }

    static double prefill_time_ms(int tokens) { return 5 + 0.1 * tokens; }
    static double token_time_ms(int running) { return 8 + 1.0 * running; }

private:
    void start(engine_job const& job);
    bool use_cache(int prefix_group);

    virtual_time& time_;
    int slots_;
    std::function<void(int, bool)> cache_changed_;
    std::multimap<int, engine_job> queue_; ///< by priority
    std::list<int> cache_;                 ///< prefix groups, most recently used first
    instant prefill_idle_at_;
    int running_ = 0;
};

} // namespace almondcart
