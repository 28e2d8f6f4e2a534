#include "timeline_view.hpp"

#include <almondcart/core/json.hpp>

#include <algorithm>
#include <map>
#include <sstream>
#include <tuple>

namespace almondcart {

namespace {

constexpr std::string_view page_head = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>almondcart timeline</title><style>
body{font:13px sans-serif;margin:1em}table{border-collapse:collapse}
th,td{border:1px solid #ccc;padding:2px 6px;vertical-align:top;text-align:left}
th{position:sticky;top:0;background:#eee}.part{color:#666}
</style></head><body><table><tr><th>time</th>)";

std::string escape_html(std::string const& text)
{
    std::string escaped;
    for (char const c : text)
    {
        switch (c)
        {
        case '&':
            escaped += "&amp;";
            break;
        case '<':
            escaped += "&lt;";
            break;
        case '>':
            escaped += "&gt;";
            break;
        default:
            escaped += c;
        }
    }
    return escaped;
}

std::string format_labels(timeline_event const& event)
{
    std::string text;
    auto const add = [&text](std::string_view name, std::string const& value)
    {
        if (!value.empty())
            text += " " + std::string(name) + "=" + value;
    };
    add("request", event.request);
    add("budget", event.budget);
    add("upstream", event.upstream);
    return text;
}

} // namespace

std::vector<timeline_event> parse_journal(Json::Value const& journal)
{
    std::vector<timeline_event> events;
    auto const process = journal["process"].asString();
    for (auto const& value : journal["events"])
    {
        timeline_event event;
        event.process = process;
        event.logical_time = value["logical_time"].asUInt64();
        event.sequence = value["sequence"].asUInt64();
        event.wall_time_ms = value["wall_time_ms"].asInt64();
        event.part = value["part"].asString();
        event.name = value["name"].asString();
        event.request = value["request"].asString();
        event.budget = value["budget"].asString();
        event.upstream = value["upstream"].asString();
        event.detail = value["detail"].asString();
        events.push_back(std::move(event));
    }
    return events;
}

void sort_causally(std::vector<timeline_event>& events)
{
    std::ranges::sort(
        events,
        {},
        [](timeline_event const& event)
        { return std::tuple(event.logical_time, event.process, event.sequence); });
}

std::string timeline_text(std::vector<timeline_event> const& events)
{
    std::ostringstream text;
    for (auto const& event : events)
    {
        text << event.logical_time << " " << event.wall_time_ms << " " << event.process << " ["
             << event.part << "] " << event.name << format_labels(event);
        if (!event.detail.empty())
            text << ": " << event.detail;
        text << "\n";
    }
    return text.str();
}

std::string timeline_json(std::vector<timeline_event> const& events)
{
    std::string text;
    for (auto const& event : events)
    {
        Json::Value value(Json::objectValue);
        value["process"] = event.process;
        value["logical_time"] = Json::UInt64(event.logical_time);
        value["sequence"] = Json::UInt64(event.sequence);
        value["wall_time_ms"] = Json::Int64(event.wall_time_ms);
        value["part"] = event.part;
        value["name"] = event.name;
        value["request"] = event.request;
        value["budget"] = event.budget;
        value["upstream"] = event.upstream;
        value["detail"] = event.detail;
        text += to_compact_json(value) + "\n";
    }
    return text;
}

std::string timeline_html(std::vector<timeline_event> const& events)
{
    std::map<std::string, std::size_t> columns;
    for (auto const& event : events)
        columns.try_emplace(event.process, 0);
    std::ostringstream page;
    page << page_head;
    std::size_t next = 0;
    for (auto& [process, column] : columns)
    {
        column = next++;
        page << "<th>" << escape_html(process) << "</th>";
    }
    page << "</tr>\n";
    for (auto const& event : events)
    {
        page << "<tr><td>" << event.logical_time << "</td>";
        for (std::size_t column = 0; column < columns.size(); ++column)
        {
            page << "<td>";
            if (column == columns.at(event.process))
                page << "<span class=\"part\">" << escape_html(event.part) << "</span> <b>"
                     << escape_html(event.name) << "</b>" << escape_html(format_labels(event))
                     << "<br>" << escape_html(event.detail);
            page << "</td>";
        }
        page << "</tr>\n";
    }
    page << "</table></body></html>\n";
    return page.str();
}

} // namespace almondcart
