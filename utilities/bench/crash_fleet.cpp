#include "crash_fleet.hpp"

#include <algorithm>
#include <utility>

#include "routing_trace.hpp"

namespace almondcart {

namespace {

constexpr duration message_latency{1};
constexpr duration run_time{1000};
constexpr duration time_to_crash{100};
constexpr duration restart_time{5000};
constexpr duration heartbeat_period{1000};
constexpr duration retry_delay{100};
constexpr duration work_deadline{30'000};
constexpr duration arrival_gap{25};
constexpr duration culprit_period{500}; ///< between sends through every router
constexpr duration first_culprit{10'000};
constexpr duration arrivals_end{60'000};
constexpr duration run_end{100'000};
constexpr int no_rule_attempts = 2;
constexpr int prefix_groups = 50;

} // namespace

char const* name_of(crash_policy policy)
{
    switch (policy)
    {
    case crash_policy::product:
        return "product";
    case crash_policy::routers_only:
        return "routers_only";
    case crash_policy::no_rule:
        return "no_rule";
    }
    return "";
}

crash_fleet::crash_fleet(crash_policy policy, std::uint64_t seed)
    : policy_(policy)
    , random_(seed)
    , agents_(bench_upstreams)
    , routers_(bench_routers)
{
    for (std::size_t i = 0; i < agents_.size(); ++i)
    {
        agents_[i].name = "m" + std::to_string(i);
        agents_[i].placements = std::make_unique<run_placements>(time_.clock());
        agents_[i].heartbeat_phase = heartbeat_period * i / agents_.size();
    }
    for (std::size_t i = 0; i < routers_.size(); ++i)
        create_router(i);
}

void crash_fleet::create_router(std::size_t number)
{
    auto& router = routers_[number];
    router.selector = std::make_unique<upstream_selector>([this](std::string const& name)
                                                          { return agent_of(name).is_up; });
    std::map<std::string, upstream_traits> traits;
    for (auto const& agent : agents_)
        traits[agent.name] = {{}, "", bench_slots};
    router.selector->set_upstreams(traits);
    router.selector->set_routers(bench_routers);
    crash_suspects_hooks hooks;
    hooks.identified = [this](std::string const& fingerprint, auto const&)
    {
        time_.after(
            message_latency,
            [this, fingerprint]
            {
                for (auto& other : routers_)
                    other.suspects->block(fingerprint);
            });
    };
    hooks.cleared = [this](std::string const& fingerprint, auto const& crashes)
    { announce_cleared(fingerprint, crashes); };
    router.suspects = std::make_unique<crash_suspects>(time_.clock(), hooks);
}

crash_statistics crash_fleet::run()
{
    for (auto time = duration{0}; time < arrivals_end; time += arrival_gap)
    {
        auto const router = std::uniform_int_distribution<std::size_t>(0, routers_.size() - 1);
        time_.at(
            instant{time},
            [this, n = router]
            {
                auto pick = n;
                send(false, pick(random_));
            });
    }
    for (auto time = first_culprit; time < arrivals_end; time += culprit_period)
    {
        for (std::size_t i = 0; i < routers_.size(); ++i)
            time_.at(instant{time}, [this, i] { send(true, i); });
    }
    time_.run_until(instant{run_end});
    return statistics_;
}

void crash_fleet::send(bool is_culprit, std::size_t router)
{
    auto const request = std::make_shared<client_request>();
    request->id = "request-" + std::to_string(++sent_);
    request->fingerprint = is_culprit ? "culprit" : request->id;
    std::uniform_int_distribution<int> groups(0, prefix_groups - 1);
    request->prompt = "prefix group " + std::to_string(is_culprit ? 0 : groups(random_));
    request->deadline = time_.now() + work_deadline;
    request->router = router;
    request->is_culprit = is_culprit;
    if (!is_culprit)
        ++statistics_.innocent;
    start_attempt(request);
}

void crash_fleet::start_attempt(request_pointer const& request)
{
    auto& router = routers_[request->router];
    if (time_.now() >= request->deadline)
        return;
    auto const state = policy_ == crash_policy::no_rule
                           ? suspicion::none
                           : router.suspects->check(request->fingerprint);
    if (state == suspicion::blocked || state == suspicion::withheld)
    {
        count_refusal(request);
        return;
    }
    selection_request selection;
    selection.prompt = request->prompt;
    selection.avoid = router.suspects->crashed_upstreams(request->fingerprint);
    if (state == suspicion::suspect)
    {
        for (auto const& agent : agents_)
        {
            if (router.suspects->has_suspect(agent.name))
                selection.avoid.push_back(agent.name);
        }
    }
    auto const chosen = router.selector->select(selection);
    if (!chosen)
        schedule_attempt(request);
    else if (policy_ == crash_policy::product)
        request_placement(request, chosen->upstream);
    else if (state == suspicion::suspect)
        run_as_suspect(request, chosen->upstream);
    else
        dispatch(request, chosen->upstream, false);
}

void crash_fleet::schedule_attempt(request_pointer const& request)
{
    time_.after(retry_delay, [this, request] { start_attempt(request); });
}

void crash_fleet::request_placement(request_pointer const& request, std::string const& proposed)
{
    auto const& router = routers_[request->router];
    auto const home =
        router.selector->find_home(request->prompt, "", [](auto const&) { return true; });
    if (!home)
    {
        schedule_attempt(request);
        return;
    }
    placement_request placement;
    placement.fingerprint = request->fingerprint;
    placement.proposed = proposed;
    placement.crashes = router.suspects->crashes_of(request->fingerprint);
    for (auto const& agent : agents_)
    {
        if (!agent.is_up)
            placement.unusable.insert(agent.name);
    }
    // A dispatch to the home agent carries the placement request, so it needs no extra message.
    if (*home != proposed)
        ++statistics_.placement_questions;
    time_.after(
        message_latency,
        [this, request, placement, home = *home]
        {
            auto const decision = agent_of(home).placements->place(placement);
            routers_[request->router].suspects->add(request->fingerprint, decision.crashes);
            if (decision.state == placement_state::placed)
                dispatch(request, decision.upstream, false);
            else if (decision.state == placement_state::suspect)
                run_as_suspect(request, decision.upstream);
            else
                schedule_attempt(request);
        });
}

void crash_fleet::run_as_suspect(request_pointer const& request, std::string const& upstream)
{
    if (routers_[request->router].suspects->try_start(request->fingerprint, upstream))
        dispatch(request, upstream, true);
    else
        schedule_attempt(request);
}

void crash_fleet::dispatch(
    request_pointer const& request,
    std::string const& upstream,
    bool is_suspect)
{
    request->is_suspect_run = is_suspect;
    request->epoch = routers_[request->router].selector->dispatched(upstream);
    ++statistics_.dispatches;
    time_.after(
        message_latency,
        [this, request, upstream, is_suspect]
        {
            auto& agent = agent_of(upstream);
            bool const is_refused =
                !agent.is_up ||
                (policy_ == crash_policy::product &&
                 agent.fence.try_start(request->id, request->fingerprint, is_suspect).has_value());
            if (is_refused)
            {
                release(request, upstream, suspect_result::not_run);
                schedule_attempt(request);
                return;
            }
            ++request->attempts;
            agent.running[request->id] = request;
            time_.after(
                request->is_culprit ? time_to_crash : run_time,
                [this, request, &agent]
                {
                    auto const found = agent.running.find(request->id);
                    if (found == agent.running.end() || found->second != request)
                        return;
                    if (request->is_culprit)
                        crash(agent);
                    else
                        complete(agent, request);
                });
        });
}

void crash_fleet::complete(agent_node& agent, request_pointer const& request)
{
    agent.running.erase(request->id);
    agent.fence.finished(request->id);
    release(request, agent.name, suspect_result::completed);
    ++statistics_.innocent_completed;
}

void crash_fleet::crash(agent_node& agent)
{
    statistics_.brought_down.insert(agent.name);
    upstream_crash report;
    report.crash = agent.name + "#" + std::to_string(++statistics_.crashes);
    report.upstream = agent.name;
    report.agent = agent.name + "@1";
    for (auto const& [id, request] : agent.running)
        report.requests.push_back({id, request->fingerprint, request->is_suspect_run});
    bool const has_suspect = agent.fence.is_suspect_running();
    for (auto const& reported : report.requests)
    {
        if (reported.ran_as_suspect || !has_suspect)
            agent.placements->add_crashes(reported.fingerprint, {{report.crash, agent.name}});
    }
    agent.fence.crashed();
    agent.is_up = false;
    time_.after(restart_time, [&agent] { agent.is_up = true; });

    auto const lost = std::exchange(agent.running, {});
    for (auto const& [id, request] : lost)
        time_.after(
            message_latency, [this, request = request, report] { handle_crash(request, report); });
    auto const past = time_.now().since_epoch % heartbeat_period;
    auto const until_next = (agent.heartbeat_phase - past + heartbeat_period) % heartbeat_period;
    time_.after(
        until_next,
        [this, report]
        {
            for (auto& router : routers_)
                router.suspects->apply(report);
        });
}

void crash_fleet::handle_crash(request_pointer const& request, upstream_crash const& report)
{
    routers_[request->router].suspects->apply(report);
    release(request, report.upstream, suspect_result::ended);
    if (policy_ != crash_policy::no_rule || request->attempts < no_rule_attempts)
        start_attempt(request);
}

void crash_fleet::release(
    request_pointer const& request,
    std::string const& upstream,
    suspect_result result)
{
    auto& router = routers_[request->router];
    router.selector->finished(upstream, request->epoch);
    if (request->is_suspect_run)
        router.suspects->finished(request->fingerprint, result);
}

void crash_fleet::announce_cleared(std::string const& fingerprint, crash_set const& crashes)
{
    time_.after(
        message_latency,
        [this, fingerprint, crashes]
        {
            for (auto& router : routers_)
                router.suspects->clear(fingerprint, crashes);
            for (auto& agent : agents_)
            {
                agent.placements->clear(fingerprint);
                agent.fence.clear(fingerprint);
            }
        });
}

void crash_fleet::count_refusal(request_pointer const& request)
{
    if (!request->is_culprit)
        ++statistics_.innocent_refused;
}

crash_fleet::agent_node& crash_fleet::agent_of(std::string const& name)
{
    auto const it = std::find_if(
        agents_.begin(), agents_.end(), [&](auto const& agent) { return agent.name == name; });
    return *it;
}

} // namespace almondcart
