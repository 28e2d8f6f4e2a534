#pragma once

#include <almondcart/routing/admission_queue.hpp>
#include <almondcart/routing/retry_budget.hpp>
#include <almondcart/routing/upstream_selector.hpp>

#include <array>
#include <cstdint>
#include <memory>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "engine_model.hpp"
#include "routing_trace.hpp"
#include "virtual_time.hpp"

namespace almondcart {

enum class bench_policy
{
    product,
    random,
    round_robin,
    least_reported_load,
};

char const* name_of(bench_policy policy);

/// Counts of one run. Requests that arrive during the warm-up are not counted.
struct fleet_statistics
{
    std::uint64_t requests = 0;
    std::uint64_t attempts = 0; ///< dispatches, retries included
    std::uint64_t cache_hits = 0;
    std::uint64_t first_tokens = 0;
    std::array<std::vector<double>, bench_priorities> first_token_ms;
    std::array<std::uint64_t, bench_priorities> arrived{};
    std::array<std::uint64_t, bench_priorities> refused{};
    std::array<std::uint64_t, bench_priorities> missed{}; ///< first token late, or none
    std::uint64_t failed = 0;                             ///< requests whose attempts all failed
};

struct fleet_settings
{
    bench_policy policy = bench_policy::product;
    duration warm_up{20'000};
    duration length{140'000}; ///< of arrivals
    duration drain{60'000};   ///< after the last arrival

    /// Upstreams with even numbers fail all requests during the outage.
    instant outage_start{duration{1'000'000'000}};
    instant outage_end{duration{1'000'000'000}};
    int attempt_limit = 1;
    bool has_retry_budget = true;
};

/// Simulates several routers in front of engine models in virtual time.
class routing_fleet
{
public:
    routing_fleet(fleet_settings settings, std::uint64_t seed);

    fleet_statistics run(std::vector<bench_request> const& trace);

private:
    struct upstream_node
    {
        std::string name;
        std::unique_ptr<engine_model> engine;
        std::array<std::uint64_t, bench_routers> seen{};
        std::uint64_t cache_events = 0;
    };
    struct router_node
    {
        std::unique_ptr<upstream_selector> selector;
        std::unique_ptr<admission_queue> queue;
        std::unique_ptr<retry_budget> retries;
        std::vector<int> reported_load;
        std::size_t next_upstream = 0;
    };
    struct request_progress
    {
        bench_request const* request = nullptr;
        std::vector<std::string> attempted;
        bool is_counted = false;
        bool has_first_token = false;
    };

    void create_upstream(int number);
    void create_router(int number);
    void report_load(upstream_node& upstream);
    void arrive(bench_request const& request);
    void dispatch(int router, std::uint64_t id);
    std::size_t choose_upstream(router_node& router, request_progress const& progress);
    void handle_failed_attempt(int router, std::uint64_t id);
    bool try_retry(router_node& router, request_progress const& progress);
    void first_token(int router, request_progress& progress, bool has_cache_hit);
    bool is_failing(std::size_t upstream) const;

    fleet_settings settings_;
    std::mt19937_64 random_;
    virtual_time time_;
    std::vector<upstream_node> upstreams_;
    std::vector<router_node> routers_;
    std::unordered_map<std::uint64_t, request_progress> progress_;
    fleet_statistics statistics_;
};

} // namespace almondcart
