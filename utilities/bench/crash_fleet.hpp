#pragma once

#include <almondcart/routing/crash_fence.hpp>
#include <almondcart/routing/crash_suspects.hpp>
#include <almondcart/routing/run_placements.hpp>
#include <almondcart/routing/upstream_selector.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "virtual_time.hpp"

namespace almondcart {

enum class crash_policy
{
    product,      ///< crash suspects at routers, placements and fences at agents
    routers_only, ///< crash suspects at routers only
    no_rule,      ///< crashed requests are retried like any other
};

char const* name_of(crash_policy policy);

struct crash_statistics
{
    std::set<std::string> brought_down; ///< upstreams that crashed at least once
    int crashes = 0;
    int innocent = 0;           ///< requests that do not crash upstreams
    int innocent_completed = 0; ///< of them, completed within the deadline
    int innocent_refused = 0;   ///< refused as suspects
    int placement_questions = 0;
    int dispatches = 0;
};

/// Simulates routers, agents and upstreams in virtual time, with a culprit request that crashes
/// each upstream that runs it. Messages take a millisecond. An agent sends its crash report to the
/// routers of the crashed requests immediately, and to the others with its next heartbeat.
class crash_fleet
{
public:
    crash_fleet(crash_policy policy, std::uint64_t seed);

    crash_statistics run();

private:
    struct client_request
    {
        std::string id;
        std::string fingerprint;
        std::string prompt;
        instant deadline;
        std::size_t router = 0;
        int attempts = 0;
        bool is_culprit = false;
        bool is_suspect_run = false;
        std::uint64_t epoch = 0;
    };
    struct agent_node
    {
        std::string name;
        crash_fence fence;
        std::unique_ptr<run_placements> placements;
        std::map<std::string, std::shared_ptr<client_request>> running;
        bool is_up = true;
        duration heartbeat_phase{0};
    };
    struct router_node
    {
        std::unique_ptr<upstream_selector> selector;
        std::unique_ptr<crash_suspects> suspects;
    };
    using request_pointer = std::shared_ptr<client_request>;

    void create_router(std::size_t number);
    void send(bool is_culprit, std::size_t router);
    void start_attempt(request_pointer const& request);
    void schedule_attempt(request_pointer const& request);
    void request_placement(request_pointer const& request, std::string const& proposed);
    void run_as_suspect(request_pointer const& request, std::string const& upstream);
    void dispatch(request_pointer const& request, std::string const& upstream, bool is_suspect);
    void complete(agent_node& agent, request_pointer const& request);
    void crash(agent_node& agent);
    void handle_crash(request_pointer const& request, upstream_crash const& report);
    void
    release(request_pointer const& request, std::string const& upstream, suspect_result result);
    void announce_cleared(std::string const& fingerprint, crash_set const& crashes);
    void count_refusal(request_pointer const& request);
    agent_node& agent_of(std::string const& name);

    crash_policy policy_;
    std::mt19937_64 random_;
    virtual_time time_;
    std::vector<agent_node> agents_;
    std::vector<router_node> routers_;
    int sent_ = 0;
    crash_statistics statistics_;
};

} // namespace almondcart
