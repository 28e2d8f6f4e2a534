#pragma once

#include <almondcart/budget/grant_recovery.hpp>

#include <json/json.h>

#include <cstddef>
#include <functional>
#include <string>

#include "agent_directory.hpp"
#include "router_context.hpp"

namespace almondcart {

/// State of a router as shown by `/status`.
class status_report
{
public:
    struct sources
    {
        std::string availability_zone;
        std::function<bool()> is_ready;
        std::function<bool()> is_log_available;
        std::function<std::size_t()> in_flight;
    };

    /// All arguments must outlive the report.
    status_report(
        router_context const& context,
        agent_directory const& agents,
        grant_recovery const& recovery,
        sources sources);

    Json::Value to_json() const;

private:
    Json::Value documents() const;
    Json::Value peers() const;
    Json::Value agents() const;
    Json::Value budgets() const;
    Json::Value budget(budget_entry const& entry) const;
    Json::Value recoveries() const;

    router_context const& context_;
    agent_directory const& agents_;
    grant_recovery const& recovery_;
    sources sources_;
};

} // namespace almondcart
