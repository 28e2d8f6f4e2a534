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

/// Settings of an `engine_standin`.
struct engine_standin_settings
{
    int slots = 8;
    duration token_interval{5};
    std::int64_t prefill_us_per_token = 20;
    std::size_t cache_blocks = 256;
    duration event_delay{200};         ///< lateness of cache events
    std::uint64_t event_gap_every = 7; ///< each event with such a number is lost; 0 loses none
    duration load_lag{250};
    bool is_fencing_checked = false;
    std::string crash_marker; ///< empty: no crashes
    duration restart_time{1000};
};

/// Stand-in for a model engine: continuous batching, prefix cache, resume and cancel of streams by
/// request id, orders, and a crash on marked prompts. A token is a word.
class engine_standin
{
public:
    engine_standin(event_loop& loop, http_server& server, engine_standin_settings settings);
    ~engine_standin();
    engine_standin(engine_standin const&) = delete;
    engine_standin& operator=(engine_standin const&) = delete;

    /// Words the engine answers a prompt with. The prompt is the contents of all messages, joined
    /// by one space.
    static std::vector<std::string>
    expected_output(std::string_view prompt, std::int64_t max_tokens);

private:
    using exchange_pointer = std::shared_ptr<http_exchange>;

    /// Caller that receives the words from `position` on.
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
        bool is_resumable = false; ///< has an id chosen by the caller, so it outlives its caller
        bool is_running = false;
        bool is_cancelled = false;
        instant first_token_at{};
        std::vector<listener> listeners;

        bool is_done() const { return is_cancelled || produced == words.size(); }
    };

    void complete(exchange_pointer const& exchange);
    void resume(exchange_pointer const& exchange);
    void cancel(exchange_pointer const& exchange);
    void order(http_exchange& exchange);
    void respond_events(http_exchange& exchange);
    void respond_load(http_exchange& exchange) const;
    void respond_stats(http_exchange& exchange) const;

    void add_listener(
        std::shared_ptr<generation> const& target,
        exchange_pointer const& exchange,
        listener it);
    void start_waiting();
    void step();
    void update(generation& target);
    static bool update(generation const& target, listener& it);
    static Json::Value chunk(generation const& target, std::string const& text, bool is_final);
    void crash();
    void report_load();
    std::size_t running_count() const;

    event_loop& loop_;
    http_server& server_;
    engine_standin_settings settings_;
    prefix_cache cache_;
    std::map<std::string, std::shared_ptr<generation>> generations_;
    std::vector<std::shared_ptr<generation>> active_; ///< waiting and running
    std::map<std::string, int> executions_;
    std::vector<Json::Value> orders_;
    std::int64_t fencing_number_ = -1;
    std::uint64_t next_id_ = 1;
    int crash_count_ = 0;
    Json::Value load_;
    timer step_timer_;
    timer load_timer_;
    timer restart_timer_;
};

} // namespace almondcart
