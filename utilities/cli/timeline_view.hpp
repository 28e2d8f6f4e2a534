#pragma once

#include <json/json.h>

#include <cstdint>
#include <string>
#include <vector>

namespace almondcart {

/// Event of the merged time line.
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

/// Events of one process's `/timeline`.
std::vector<timeline_event> read_journal(Json::Value const& journal);

/// Sorts by logical time, so that no effect comes before its cause; events that are not ordered by
/// a message are ordered by process.
void sort_causally(std::vector<timeline_event>& events);

std::string timeline_text(std::vector<timeline_event> const& events);
std::string timeline_json(std::vector<timeline_event> const& events);

/// Self-contained page with one lane for each process.
std::string timeline_html(std::vector<timeline_event> const& events);

} // namespace almondcart
