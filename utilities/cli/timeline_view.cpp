#include "timeline_view.hpp"

#include <almondcart/core/json.hpp>

#include <algorithm>
#include <map>
#include <sstream>
#include <tuple>

namespace almondcart {

namespace {

constexpr std::string_view page_head = R"(<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>almondcart time line</title><style>
body{font:13px sans-serif;margin:1em}table{border-collapse:collapse}
th,td{border:1px solid #ccc;padding:2px 6px;vertical-align:top;text-align:left}
th{position:sticky;top:0;background:#eee}.part{color:#666}
</style></head><body><table><tr><th>time</th>)";

std::string escape(std::string const& text)
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

std::string labels_of(timeline_event const& it)
{
    std::string text;
    auto const add = [&text](std::string_view name, std::string const& value)
    {
        if (!value.empty())
            text += " " + std::string(name) + "=" + value;
    };
    add("request", it.request);
    add("budget", it.budget);
    add("upstream", it.upstream);
    return text;
}

} // namespace

std::vector<timeline_event> read_journal(Json::Value const& journal)
{
    std::vector<timeline_event> events;
    auto const process = journal["process"].asString();
    for (auto const& value : journal["events"])
    {
        timeline_event it;
        it.process = process;
        it.logical_time = value["logical_time"].asUInt64();
        it.sequence = value["sequence"].asUInt64();
        it.wall_time_ms = value["wall_time_ms"].asInt64();
        it.part = value["part"].asString();
        it.name = value["name"].asString();
        it.request = value["request"].asString();
        it.budget = value["budget"].asString();
        it.upstream = value["upstream"].asString();
        it.detail = value["detail"].asString();
        events.push_back(std::move(it));
    }
    return events;
}

void sort_causally(std::vector<timeline_event>& events)
{
    std::ranges::sort(
        events,
        {},
        [](timeline_event const& it)
        { return std::tuple(it.logical_time, it.process, it.sequence); });
}

std::string timeline_text(std::vector<timeline_event> const& events)
{
    std::ostringstream text;
    for (auto const& it : events)
    {
        text << it.logical_time << " " << it.wall_time_ms << " " << it.process << " [" << it.part
             << "] " << it.name << labels_of(it);
        if (!it.detail.empty())
            text << ": " << it.detail;
        text << "\n";
    }
    return text.str();
}

std::string timeline_json(std::vector<timeline_event> const& events)
{
    std::string text;
    for (auto const& it : events)
    {
        Json::Value value(Json::objectValue);
        value["process"] = it.process;
        value["logical_time"] = Json::UInt64(it.logical_time);
        value["sequence"] = Json::UInt64(it.sequence);
        value["wall_time_ms"] = Json::Int64(it.wall_time_ms);
        value["part"] = it.part;
        value["name"] = it.name;
        value["request"] = it.request;
        value["budget"] = it.budget;
        value["upstream"] = it.upstream;
        value["detail"] = it.detail;
        text += to_compact_json(value) + "\n";
    }
    return text;
}

std::string timeline_html(std::vector<timeline_event> const& events)
{
    std::map<std::string, std::size_t> lanes;
    for (auto const& it : events)
        lanes.try_emplace(it.process, 0);
    std::ostringstream page;
    page << page_head;
    std::size_t next = 0;
    for (auto& [process, lane] : lanes)
    {
        lane = next++;
        page << "<th>" << escape(process) << "</th>";
    }
    page << "</tr>\n";
    for (auto const& it : events)
    {
        page << "<tr><td>" << it.logical_time << "</td>";
        for (std::size_t lane = 0; lane < lanes.size(); ++lane)
        {
            page << "<td>";
            if (lane == lanes.at(it.process))
                page << "<span class=\"part\">" << escape(it.part) << "</span> <b>"
                     << escape(it.name) << "</b>" << escape(labels_of(it)) << "<br>"
                     << escape(it.detail);
            page << "</td>";
        }
        page << "</tr>\n";
    }
    page << "</table></body></html>\n";
    return page.str();
}

} // namespace almondcart
