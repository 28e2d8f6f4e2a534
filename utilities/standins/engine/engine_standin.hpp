#pragma once

#include <almondcart/http/http_server.hpp>

#include <json/json.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "prefix_cache.hpp"

namespace almondcart {

struct engine_standin_settings
{
    int slots = 8;
    duration token_interval{5};
    std::int64_t prefill_us_per_token = 20;
    std::size_t cache_blocks = 256;
    duration event_delay{200};         ///< time until a cache event becomes visible
    std::uint64_t event_gap_every = 7; ///< drops every n-th cache event; 0 drops none
    duration load_lag{250};            ///< interval between load snapshots
    bool is_fencing_checked = false;
    std::string crash_marker; ///< prompts that contain it crash the engine; empty disables crashes
    duration restart_time{1000};
};

/// Stand-in for an LLM inference engine with continuous batching and a prefix cache. Requests can
/// be resumed and cancelled by id, fenced orders are recorded, and prompts that contain the crash
/// marker crash the engine. A token is one whitespace-separated word.
class engine_standin
{
public:
    engine_standin(event_loop& loop, http_server& server, engine_standin_settings settings);
    ~engine_standin();
    engine_standin(engine_standin const&) = delete;
    engine_standin& operator=(engine_standin const&) = delete;

    /// Returns the words that the engine generates, which depend on the arguments alone. The prompt
    /// is the contents of all messages, joined by single spaces.
    static std::vector<std::string>
    expected_output(std::string_view prompt, std::int64_t max_tokens);

private:
    using exchange_pointer = std::shared_ptr<http_exchange>;

    /// Client connection that receives the words from `position` on.
    struct listener
    {
        exchange_pointer exchange;
        std::size_t position = 0;
        bool is_stream = true;
    };

    struct generation
    {
        std::string id;
        std::string model;
        std::string prompt;
        std::vector<std::string> words;
        std::size_t prompt_tokens = 0;
        std::size_t produced = 0;
        int priority = 0;
        std::uint64_t arrival = 0;
        bool is_resumable = false; ///< the client chose the id, so the request survives disconnects
        bool is_running = false;
        bool is_cancelled = false;
        instant first_token_at{};
        std::vector<listener> listeners;

        bool is_done() const { return is_cancelled || produced == words.size(); }
    };

    void handle_completion(exchange_pointer const& exchange);
    void handle_resume(exchange_pointer const& exchange);
    void handle_cancel(exchange_pointer const& exchange);
    void handle_order(http_exchange& exchange);
    void respond_events(http_exchange& exchange);
    void respond_load(http_exchange& exchange) const;
    void respond_stats(http_exchange& exchange) const;

    void add_listener(
        std::shared_ptr<generation> const& target,
        exchange_pointer const& exchange,
        listener added);

    /// Starts queued requests in the free slots, by priority and then by arrival.
    void schedule_batch();
    void step();
    void notify_listeners(generation& target);

    /// Sends the output that the listener has not received yet. Returns whether it is finished.
    static bool deliver_output(generation const& target, listener& receiver);
    static Json::Value
    create_chunk(generation const& target, std::string const& text, bool is_final);
    void crash();
    void refresh_load();
    std::size_t running_count() const;

    event_loop& loop_;
    http_server& server_;
    engine_standin_settings settings_;
    prefix_cache cache_;
    std::map<std::string, std::shared_ptr<generation>> generations_;
    std::vector<std::shared_ptr<generation>> active_; ///< queued and running
    std::map<std::string, int> executions_;
    std::vector<Json::Value> orders_;
    std::int64_t fencing_number_ = -1;
    std::uint64_t next_arrival_ = 1;
    int crash_count_ = 0;
    Json::Value load_;
    timer step_timer_;
    timer load_timer_;
    timer restart_timer_;
};

} // namespace almondcart
