#include "crash_fleet.hpp"

#include <algorithm>
#include <utility>

#include "routing_trace.hpp"

namespace almondcart {

namespace {

constexpr duration message_time{1};
constexpr duration run_time{1000};
constexpr duration time_to_crash{100};
constexpr duration restart_time{5000};
constexpr duration heartbeat_period{1000};
constexpr duration retry_pause{100};
constexpr duration work_deadline{30'000};
constexpr duration arrival_gap{25};
constexpr duration culprit_period{500}; ///< the caller sends through every router this often
constexpr duration first_culprit{10'000};
constexpr duration arrivals_end{60'000};
constexpr duration run_end{100'000};
constexpr int naive_attempts = 2;
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
    for (std::size_t it = 0; it < agents_.size(); ++it)
    {
        agents_[it].name = "m" + std::to_string(it);
        agents_[it].placements = std::make_unique<run_placements>(time_.clock());
        agents_[it].heartbeat_phase = heartbeat_period * it / agents_.size();
    }
    for (std::size_t it = 0; it < routers_.size(); ++it)
        create_router(it);
}

void crash_fleet::create_router(std::size_t number)
{
    auto& router = routers_[number];
    router.selector = std::make_unique<upstream_selector>([this](std::string const& name)
                                                          { return agent_of(name).is_up; });
    std::map<std::string, upstream_traits> traits;
    for (auto const& it : agents_)
        traits[it.name] = {{}, "", bench_slots};
    router.selector->set_upstreams(traits);
    router.selector->set_routers(bench_routers);
    crash_suspects_hooks hooks;
    hooks.identified = [this](std::string const& fingerprint, auto const&)
    {
        time_.after(
            message_time,
            [this, fingerprint]
            {
                for (auto& it : routers_)
                    it.suspects->block(fingerprint);
            });
    };
    hooks.cleared = [this](std::string const& fingerprint, auto const& crashes)
    { announce_cleared(fingerprint, crashes); };
    router.suspects = std::make_unique<crash_suspects>(time_.clock(), hooks);
}

crash_figures crash_fleet::run()
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
        for (std::size_t it = 0; it < routers_.size(); ++it)
            time_.at(instant{time}, [this, it] { send(true, it); });
    }
    time_.run_until(instant{run_end});
    return figures_;
}

void crash_fleet::send(bool is_culprit, std::size_t router)
{
    auto const it = std::make_shared<work>();
    it->id = "request-" + std::to_string(++sent_);
    it->fingerprint = is_culprit ? "culprit" : it->id;
    std::uniform_int_distribution<int> groups(0, prefix_groups - 1);
    it->prompt = "prefix group " + std::to_string(is_culprit ? 0 : groups(random_));
    it->deadline = time_.now() + work_deadline;
    it->router = router;
    it->is_culprit = is_culprit;
    if (!is_culprit)
        ++figures_.innocent;
    attempt(it);
}

void crash_fleet::attempt(work_pointer const& it)
{
    auto& router = routers_[it->router];
    if (time_.now() >= it->deadline)
        return;
    auto const state = policy_ == crash_policy::no_rule ? suspicion::none
                                                        : router.suspects->check(it->fingerprint);
    if (state == suspicion::blocked || state == suspicion::withheld)
    {
        refuse(it);
        return;
    }
    selection_request request;
    request.prompt = it->prompt;
    request.avoid = router.suspects->crashed_upstreams(it->fingerprint);
    if (state == suspicion::suspect)
    {
        for (auto const& agent : agents_)
        {
            if (router.suspects->has_suspect(agent.name))
                request.avoid.push_back(agent.name);
        }
    }
    auto const chosen = router.selector->select(request);
    if (!chosen)
        attempt_later(it);
    else if (policy_ == crash_policy::product)
        ask_home(it, chosen->upstream);
    else if (state == suspicion::suspect)
        run_as_suspect(it, chosen->upstream);
    else
        dispatch(it, chosen->upstream, false);
}

void crash_fleet::attempt_later(work_pointer const& it)
{
    time_.after(retry_pause, [this, it] { attempt(it); });
}

void crash_fleet::ask_home(work_pointer const& it, std::string const& proposed)
{
    auto const& router = routers_[it->router];
    auto const home = router.selector->find_home(it->prompt, "", [](auto const&) { return true; });
    if (!home)
    {
        attempt_later(it);
        return;
    }
    placement_request question;
    question.fingerprint = it->fingerprint;
    question.proposed = proposed;
    question.crashes = router.suspects->crashes_of(it->fingerprint);
    for (auto const& agent : agents_)
    {
        if (!agent.is_up)
            question.unusable.insert(agent.name);
    }
    // A dispatch to the home agent carries the question with it.
    if (*home != proposed)
        ++figures_.placement_questions;
    time_.after(
        message_time,
        [this, it, question, home = *home]
        {
            auto const answer = agent_of(home).placements->place(question);
            routers_[it->router].suspects->add(it->fingerprint, answer.crashes);
            if (answer.state == placement_state::placed)
                dispatch(it, answer.upstream, false);
            else if (answer.state == placement_state::suspect)
                run_as_suspect(it, answer.upstream);
            else
                attempt_later(it);
        });
}

void crash_fleet::run_as_suspect(work_pointer const& it, std::string const& upstream)
{
    if (routers_[it->router].suspects->try_start(it->fingerprint, upstream))
        dispatch(it, upstream, true);
    else
        attempt_later(it);
}

void crash_fleet::dispatch(work_pointer const& it, std::string const& upstream, bool is_suspect)
{
    it->is_suspect_run = is_suspect;
    it->epoch = routers_[it->router].selector->dispatched(upstream);
    ++figures_.dispatches;
    time_.after(
        message_time,
        [this, it, upstream, is_suspect]
        {
            auto& agent = agent_of(upstream);
            bool const is_refused =
                !agent.is_up ||
                (policy_ == crash_policy::product &&
                 agent.fence.try_start(it->id, it->fingerprint, is_suspect).has_value());
            if (is_refused)
            {
                release(it, upstream, suspect_result::not_run);
                attempt_later(it);
                return;
            }
            ++it->attempts;
            agent.running[it->id] = it;
            time_.after(
                it->is_culprit ? time_to_crash : run_time,
                [this, it, &agent]
                {
                    auto const found = agent.running.find(it->id);
                    if (found == agent.running.end() || found->second != it)
                        return;
                    if (it->is_culprit)
                        crash(agent);
                    else
                        complete(agent, it);
                });
        });
}

void crash_fleet::complete(agent_node& agent, work_pointer const& it)
{
    agent.running.erase(it->id);
    agent.fence.finished(it->id);
    release(it, agent.name, suspect_result::completed);
    ++figures_.innocent_completed;
}

void crash_fleet::crash(agent_node& agent)
{
    figures_.brought_down.insert(agent.name);
    upstream_crash report;
    report.crash = agent.name + "#" + std::to_string(++figures_.crashes);
    report.upstream = agent.name;
    report.agent = agent.name + "@1";
    for (auto const& [id, it] : agent.running)
        report.requests.push_back({id, it->fingerprint, it->is_suspect_run});
    bool const has_suspect = agent.fence.is_suspect_running();
    for (auto const& it : report.requests)
    {
        if (it.ran_as_suspect || !has_suspect)
            agent.placements->add_crashes(it.fingerprint, {{report.crash, agent.name}});
    }
    agent.fence.crashed();
    agent.is_up = false;
    time_.after(restart_time, [&agent] { agent.is_up = true; });

    auto const lost = std::exchange(agent.running, {});
    for (auto const& [id, it] : lost)
        time_.after(message_time, [this, it = it, report] { handle_crash(it, report); });
    auto const past = time_.now().since_epoch % heartbeat_period;
    auto const until_next = (agent.heartbeat_phase - past + heartbeat_period) % heartbeat_period;
    time_.after(
        until_next,
        [this, report]
        {
            for (auto& it : routers_)
                it.suspects->apply(report);
        });
}

void crash_fleet::handle_crash(work_pointer const& it, upstream_crash const& report)
{
    routers_[it->router].suspects->apply(report);
    release(it, report.upstream, suspect_result::ended);
    if (policy_ != crash_policy::no_rule || it->attempts < naive_attempts)
        attempt(it);
}

void crash_fleet::release(
    work_pointer const& it,
    std::string const& upstream,
    suspect_result result)
{
    auto& router = routers_[it->router];
    router.selector->finished(upstream, it->epoch);
    if (it->is_suspect_run)
        router.suspects->finished(it->fingerprint, result);
}

void crash_fleet::announce_cleared(std::string const& fingerprint, crash_set const& crashes)
{
    time_.after(
        message_time,
        [this, fingerprint, crashes]
        {
            for (auto& it : routers_)
                it.suspects->clear(fingerprint, crashes);
            for (auto& it : agents_)
            {
                it.placements->clear(fingerprint);
                it.fence.clear(fingerprint);
            }
        });
}

void crash_fleet::refuse(work_pointer const& it)
{
    if (!it->is_culprit)
        ++figures_.innocent_refused;
}

crash_fleet::agent_node& crash_fleet::agent_of(std::string const& name)
{
    auto const it = std::find_if(
        agents_.begin(), agents_.end(), [&](auto const& agent) { return agent.name == name; });
    return *it;
}

} // namespace almondcart
