#include "budget_bench.hpp"

#include <fmt/format.h>
#include <json/json.h>

#include <array>
#include <cstdint>
#include <functional>
#include <iostream>
#include <string>

#include "budget_policy.hpp"

namespace almondcart::bench {

using namespace std::chrono_literals;

namespace {

struct policy_entry
{
    char const* name;
    std::unique_ptr<budget_policy> (*create)(bench_world&);
};

constexpr std::array<policy_entry, 4> policies = {{
    {"product", create_product_policy},
    {"append_per_request", create_append_per_request_policy},
    {"static_split", create_static_split_policy},
    {"lagged_counter", create_lagged_counter_policy},
}};

/// Time after the last request for running work to finish and for usage to reach the log.
constexpr duration drain_time = 10min;

/// Time until a client whose router died retries at another one.
constexpr duration retry_delay = 500ms;

struct policy_result
{
    std::int64_t requests = 0;
    token_count overspend = 0;
    std::int64_t refusals = 0;
    std::int64_t false_refusals = 0;
    std::int64_t appends = 0;
};

class budget_run
{
public:
    budget_run(budget_scenario const& scenario, policy_entry const& entry)
        : world_(scenario)
        , policy_(entry.create(world_))
    {}

    policy_result execute()
    {
        auto const& scenario = world_.scenario;
        policy_->start();
        for (auto const& change : scenario.top_ups)
            world_.queue.at(change.at, [this, &change] { top_up_budget(change); });
        for (auto const& death : scenario.deaths)
        {
            world_.queue.at(death.down.from, [this, &death] { stop_router(death.router); });
            world_.queue.at(
                death.down.to, [this, &death] { policy_->router_restarted(death.router); });
        }
        schedule_next(0);
        world_.queue.run_until(instant{scenario.length + drain_time});
        auto const& oracle = world_.oracle;
        return {
            std::int64_t(scenario.requests.size()),
            oracle.overspend(),
            oracle.refusals(),
            oracle.false_refusals(),
            world_.log.appends()};
    }

private:
    void schedule_next(std::size_t n)
    {
        auto const& requests = world_.scenario.requests;
        if (n == requests.size())
            return;
        world_.queue.at(
            requests[n].at,
            [this, n]
            {
                auto const& request = world_.scenario.requests[n];
                arrive(request, request.router);
                schedule_next(n + 1);
            });
    }

    void arrive(trace_request const& request, int router)
    {
        auto const live = world_.faults.live_router(router);
        if (live < 0)
            world_.queue.after(retry_delay, [this, &request, router] { arrive(request, router); });
        else
            policy_->arrive(request, live);
    }

    void top_up_budget(top_up const& change)
    {
        world_.oracle.set_total(change.budget, change.total);
        policy_->topped_up(change);
    }

    void stop_router(int router)
    {
        for (auto const* request : policy_->router_died(router))
            world_.queue.after(retry_delay, [this, request, router] { arrive(*request, router); });
    }

    bench_world world_;
    std::unique_ptr<budget_policy> policy_;
};

Json::Value to_json(char const* name, policy_result const& result)
{
    Json::Value value(Json::objectValue);
    value["name"] = name;
    value["requests"] = Json::Int64(result.requests);
    value["overspend_tokens"] = Json::Int64(result.overspend);
    value["false_refusals"] = Json::Int64(result.false_refusals);
    value["appends"] = Json::Int64(result.appends);
    return value;
}

void print_row(std::string const& scenario, char const* policy, policy_result const& result)
{
    fmt::print(
        "{:<18}{:<20}{:>9}{:>12}{:>10}{:>10}{:>10}\n",
        scenario,
        policy,
        result.requests,
        result.overspend,
        result.refusals,
        result.false_refusals,
        result.appends);
}

void print_header()
{
    fmt::print(
        "{:<18}{:<20}{:>9}{:>12}{:>10}{:>10}{:>10}\n",
        "scenario",
        "policy",
        "requests",
        "overspend",
        "refusals",
        "false",
        "appends");
}

Json::Value run_scenario(budget_scenario const& scenario, bench_options const& options)
{
    Json::Value entry(Json::objectValue);
    entry["name"] = scenario.name;
    entry["policies"] = Json::Value(Json::arrayValue);
    for (auto const& policy : policies)
    {
        if (!options.policy.empty() && options.policy != policy.name)
            continue;
        auto const result = budget_run(scenario, policy).execute();
        entry["policies"].append(to_json(policy.name, result));
        if (!options.is_json)
            print_row(scenario.name, policy.name, result);
    }
    return entry;
}

} // namespace

} // namespace almondcart::bench

namespace almondcart {

int run_budget_bench(bench_options const& options)
{
    Json::Value output(Json::objectValue);
    output["seed"] = Json::UInt64(options.seed);
    output["scenarios"] = Json::Value(Json::arrayValue);
    if (!options.is_json)
        bench::print_header();
    for (auto const& scenario : bench::create_budget_scenarios(options.seed, options.routers))
    {
        if (options.scenario.empty() || options.scenario == scenario.name)
            output["scenarios"].append(bench::run_scenario(scenario, options));
    }
    if (options.is_json)
    {
        Json::StreamWriterBuilder writer;
        writer["indentation"] = "";
        std::cout << Json::writeString(writer, output) << "\n";
    }
    return 0;
}

} // namespace almondcart
