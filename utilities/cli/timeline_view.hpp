#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace almondcart {

/// Event of the merged timeline of all processes.
struct timeline_event
{
    std::string process;
    std::uint64_t logical_time = 0;
    std::uint64_t sequence = 0;
    std::int64_t wall_time_ms = 0;
    std::string part;
    std::string name;
    std::string request;
    std::string budget;
    std::string upstream;
    std::string detail;
};

/// Parses the `/timeline` response of one process.
std::vector<timeline_event> parse_journal(Json::Value const& journal);

/// Sorts by logical time, so that every effect follows its cause. Ties between concurrent events
/// are broken by process and sequence number.
void sort_causally(std::vector<timeline_event>& events);

std::string timeline_text(std::vector<timeline_event> const& events);
std::string timeline_json(std::vector<timeline_event> const& events);

/// Renders a self-contained HTML page with one column per process.
std::string timeline_html(std::vector<timeline_event> const& events);

} // namespace almondcart
