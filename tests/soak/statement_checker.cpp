#include "statement_checker.hpp"

namespace almondcart::soak {

namespace {

/// Requests that clients sent up to this time after the statement may still reach the upstream.
constexpr duration drain_time{2000};

/// Requests may still arrive for this time after a refusal.
constexpr duration pause_delay{500};

/// Requests that may arrive during a pause.
constexpr int pause_arrival_limit = 2;

constexpr int service_unavailable = 503;

} // namespace

void statement_checker::record_request(std::string const& id, std::size_t gateway, instant now)
{
    requests_[id] = {gateway, now};
}

void statement_checker::record_pause(
    std::string const& upstream,
    std::string const& id,
    instant end)
{
    asked_[id].push_back({upstream, end});
}

void statement_checker::record_response(
    std::string const& id,
    int status,
    std::string const& leaving,
    instant now)
{
    auto const gateway = requests_[id].gateway;
    if (!leaving.empty())
        leaving_.try_emplace({gateway, leaving}, now);
    // A gateway that did not receive the refusal could not tell that the request has not run.
    if (status == service_unavailable)
    {
        for (auto const& it : asked_[id])
            pauses_[{gateway, it.upstream}].push_back({now + pause_delay, it.end, 0});
    }
    asked_.erase(id);
}

std::string
statement_checker::record_arrival(std::string const& upstream, std::string const& id, instant now)
{
    auto const it = requests_.find(id);
    if (it == requests_.end())
        return {};
    path const from{it->second.gateway, upstream};
    auto const leaving = leaving_.find(from);
    if (leaving != leaving_.end() && it->second.sent > leaving->second + drain_time)
        return "reaches " + upstream + ", which had said that it leaves";
    for (auto& pause : pauses_[from])
    {
        if (now < pause.begin || now >= pause.end)
            continue;
        if (++pause.arrivals > pause_arrival_limit)
            return "reaches " + upstream + " in the pause that it asked for";
    }
    return {};
}

void statement_checker::forget_gateway(std::size_t gateway)
{
    std::erase_if(leaving_, [&](auto const& it) { return it.first.first == gateway; });
    std::erase_if(pauses_, [&](auto const& it) { return it.first.first == gateway; });
}

void statement_checker::forget_upstream(std::string const& upstream)
{
    std::erase_if(leaving_, [&](auto const& it) { return it.first.second == upstream; });
    std::erase_if(pauses_, [&](auto const& it) { return it.first.second == upstream; });
}

} // namespace almondcart::soak
