#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "fleet_client.hpp"

namespace almondcart {

/// Exit codes of the `almondcart` program.
enum class exit_code : int
{
    success = 0,
    refused = 1, ///< the document is invalid, or conflicts with a version ahead of it in the log
    usage = 2,   ///< invalid command line
    unreachable = 3, ///< no response from the fleet, or no confirmation by the log in time
};

struct publish_options
{
    std::string file;
    std::string router; ///< "ip:port" of a router's control interface
    std::string author;
    std::int64_t base_version = -1; ///< version to replace; -1: the router's current version
    bool should_wait = false;
    duration wait_limit{30'000};
};

struct timeline_options
{
    std::string router;
    std::string format = "text"; ///< "text", "json" or "html"
    std::string request;         ///< request key or id; empty matches all events
    std::string budget;          ///< empty matches all events
    std::string upstream;        ///< empty matches all events
};

exit_code check_document(std::string const& file);
exit_code publish_document(fleet_client& client, publish_options const& options);
exit_code show_status(fleet_client& client, std::string const& router, bool as_json);

/// Prints where the tokens of prepaid totals went, from the log files of gateways; "-" is standard
/// input.
exit_code show_tokens(std::vector<std::string> const& files);
exit_code show_timeline(fleet_client& client, timeline_options const& options);

} // namespace almondcart
