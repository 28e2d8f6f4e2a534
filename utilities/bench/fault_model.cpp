#include "fault_model.hpp"

#include <algorithm>

namespace almondcart::bench {

fault_model::fault_model(budget_scenario const& scenario, event_queue const& queue)
    : scenario_(scenario)
    , queue_(queue)
{
    for (int router = 0; router < scenario.routers; ++router)
    {
        std::vector<process_id> incarnations;
        for (std::size_t n = 0; n <= scenario.deaths.size(); ++n)
            incarnations.push_back(
                {"router-" + std::to_string(router), "incarnation-" + std::to_string(n)});
        processes_.push_back(std::move(incarnations));
    }
}

bool fault_model::is_log_up() const
{
    return std::none_of(
        scenario_.log_down.begin(),
        scenario_.log_down.end(),
        [&](auto const& span) { return span.contains(queue_.now()); });
}

bool fault_model::is_partitioned_at(instant time) const
{
    return std::any_of(
        scenario_.partitions.begin(),
        scenario_.partitions.end(),
        [&](auto const& span) { return span.contains(time); });
}

bool fault_model::is_up_at(int router, instant time) const
{
    return std::none_of(
        scenario_.deaths.begin(),
        scenario_.deaths.end(),
        [&](auto const& death) { return death.router == router && death.down.contains(time); });
}

int fault_model::incarnation_at(int router, instant time) const
{
    return int(std::count_if(
        scenario_.deaths.begin(),
        scenario_.deaths.end(),
        [&](auto const& death) { return death.router == router && death.down.to <= time; }));
}

bool fault_model::reaches_log(int router) const
{
    return is_log_up() && is_up(router) &&
           !(is_isolated_router(router) && is_partitioned_at(queue_.now()));
}

bool fault_model::reaches_router(int from, int to) const
{
    return is_up(from) && receives_from(from, to, queue_.now());
}

bool fault_model::receives_from(int router, int peer, instant time) const
{
    auto const is_partitioned =
        is_isolated_router(router) != is_isolated_router(peer) && is_partitioned_at(time);
    return is_up_at(peer, time) && !is_partitioned;
}

bool fault_model::reaches_agent(int router, int agent) const
{
    auto const is_partitioned =
        is_isolated_router(router) != is_isolated_agent(agent) && is_partitioned_at(queue_.now());
    return is_up(router) && !is_partitioned;
}

bool fault_model::loses_response()
{
    return std::uniform_real_distribution<double>(0, 1)(random_) < scenario_.lost_response_share;
}

int fault_model::live_router(int router) const
{
    for (int n = 0; n < scenario_.routers; ++n)
    {
        auto const candidate = (router + n) % scenario_.routers;
        if (is_up(candidate))
            return candidate;
    }
    return -1;
}

process_id const& fault_model::process_of(int router) const
{
    return processes_[std::size_t(router)][std::size_t(incarnation_at(router, queue_.now()))];
}

std::vector<process_id> fault_model::live_peers(int router) const
{
    std::vector<process_id> peers;
    auto const before = queue_.now() - peer_timeout;
    for (int peer = 0; peer < scenario_.routers; ++peer)
    {
        if (peer == router)
            continue;
        auto const& incarnations = processes_[std::size_t(peer)];
        if (receives_from(router, peer, queue_.now()))
            peers.push_back(incarnations[std::size_t(incarnation_at(peer, queue_.now()))]);
        else if (receives_from(router, peer, before))
            peers.push_back(incarnations[std::size_t(incarnation_at(peer, before))]);
    }
    return peers;
}

bool fault_model::is_dead(int router, process_id const& process) const
{
    auto const peers = live_peers(router);
    if (process == process_of(router) ||
        std::find(peers.begin(), peers.end(), process) != peers.end())
        return false;
    for (int peer = 0; peer < scenario_.routers; ++peer)
    {
        if (!is_up(peer) || process_of(peer) != process)
            continue;
        for (int agent = 0; agent < scenario_.agents; ++agent)
        {
            if (reaches_agent(router, agent) && reaches_agent(peer, agent))
                return false;
        }
    }
    return true;
}

} // namespace almondcart::bench
