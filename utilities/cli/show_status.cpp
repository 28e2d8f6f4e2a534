#include <almondcart/core/json.hpp>

#include <iomanip>
#include <iostream>

#include "commands.hpp"
#include "output.hpp"

namespace almondcart {

namespace {

void print_router(Json::Value const& state)
{
    std::cout << "router " << state["process"].asString() << " in "
              << state["availability_zone"].asString() << ", "
              << (state["ready"].asBool() ? "ready" : "not ready") << ", log "
              << (state["log_available"].asBool() ? "available" : "out") << ", configuration at "
              << state["config_offset"].asInt64() << ", " << state["in_flight"].asInt64()
              << " requests in flight\n";
    for (auto const& document : state["documents"])
        std::cout << "  service " << document["service"].asString() << ": version "
                  << document["version"].asInt64() << "\n";
}

void print_budgets(Json::Value const& state)
{
    constexpr int name_width = 44;
    constexpr int number_width = 12;
    std::cout << std::left << std::setw(name_width) << "budget" << std::right;
    for (auto const* title : {"total", "billed", "charged", "unallocated"})
        std::cout << std::setw(number_width) << title;
    std::cout << "\n";
    for (auto const& budget : state["budgets"])
    {
        std::cout << std::left << std::setw(name_width) << budget["budget"].asString()
                  << std::right;
        for (auto const* member : {"total", "billed", "charged", "unallocated"})
            std::cout << std::setw(number_width) << budget[member].asInt64();
        std::cout << "\n";
    }
}

void print_recoveries(Json::Value const& state)
{
    for (auto const& recovery : state["recoveries"])
    {
        std::cout << "grant " << recovery["grant"].asString() << " of "
                  << recovery["holder"].asString()
                  << " in recovery: " << recovery["stranded_tokens"].asInt64() << " tokens of "
                  << recovery["budget"].asString() << ", waiting for "
                  << recovery["unreachable_agents"].size() << " agents\n";
    }
}

void print_agents(Json::Value const& state)
{
    for (auto const& agent : state["agents"])
        std::cout << "upstream " << agent["upstream"].asString() << ": "
                  << agent["state"].asString() << ", agent " << agent["process"].asString()
                  << " at " << agent["address"].asString() << ", configuration at "
                  << agent["config_offset"].asInt64() << ", " << agent["running"].asInt64()
                  << " running\n";
}

} // namespace

exit_code show_status(fleet_client& client, std::string const& router, bool as_json)
{
    auto const processes = client.list_processes(router);
    if (!processes.ok())
        return report_error(processes.status());
    std::vector<std::string> routers;
    for (auto const& process : *processes)
    {
        if (process.role == "router")
            routers.push_back(process.address);
    }
    auto const statuses = client.fetch_all(routers, "/status");
    Json::Value router_statuses(Json::arrayValue);
    for (auto const& state : statuses)
    {
        if (state.ok())
            router_statuses.append(*state);
    }
    if (as_json)
    {
        std::cout << to_compact_json(router_statuses) << "\n";
        return exit_code::success;
    }
    for (auto const& state : router_statuses)
        print_router(state);
    if (!router_statuses.empty())
    {
        print_budgets(router_statuses[0]);
        print_agents(router_statuses[0]);
        print_recoveries(router_statuses[0]);
    }
    return exit_code::success;
}

} // namespace almondcart
