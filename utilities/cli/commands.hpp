#pragma once

#include <cstdint>
#include <string>

#include "fleet_client.hpp"

namespace almondcart {

/// Exit codes of the command line.
enum class exit_code : int
{
    success = 0,
    refused = 1,     ///< the document is invalid, or the log's order has not accepted it
    usage = 2,       ///< wrong command line
    unreachable = 3, ///< no answer from the fleet, or the log has not confirmed in time
};

struct publish_options
{
    std::string file;
    std::string router; ///< "ip:port" of a router's control interface
    std::string author;
    std::int64_t base_version = -1; ///< -1: the version in force at the router
    bool should_wait = false;
    duration wait_limit{30'000};
};

struct timeline_options
{
    std::string router;
    std::string format = "text"; ///< "text", "json" or "html"
    std::string request;         ///< request key or id; empty: all
    std::string budget;
    std::string upstream;
};

exit_code check_document(std::string const& file);
exit_code publish_document(fleet_client& client, publish_options const& options);
exit_code show_status(fleet_client& client, std::string const& router, bool as_json);
exit_code show_timeline(fleet_client& client, timeline_options const& options);

} // namespace almondcart
