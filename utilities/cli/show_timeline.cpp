#include <iostream>

#include "commands.hpp"
#include "output.hpp"
#include "timeline_view.hpp"

namespace almondcart {

namespace {

bool matches(timeline_event const& event, timeline_options const& options)
{
    bool const is_request = options.request.empty() || event.request == options.request ||
                            event.request.ends_with("#" + options.request);
    return is_request && (options.budget.empty() || event.budget == options.budget) &&
           (options.upstream.empty() || event.upstream == options.upstream);
}

} // namespace

exit_code show_timeline(fleet_client& client, timeline_options const& options)
{
    auto const processes = client.list_processes(options.router);
    if (!processes.ok())
        return report_error(processes.status());
    std::vector<std::string> addresses;
    for (auto const& process : *processes)
        addresses.push_back(process.address);
    auto const journals = client.fetch_all(addresses, "/timeline");

    std::vector<timeline_event> events;
    for (std::size_t i = 0; i < journals.size(); ++i)
    {
        if (!journals[i].ok())
        {
            std::cerr << "warning: no timeline from " << (*processes)[i].process << "\n";
            continue;
        }
        for (auto& event : parse_journal(*journals[i]))
        {
            if (matches(event, options))
                events.push_back(std::move(event));
        }
    }
    sort_causally(events);
    if (options.format == "json")
        std::cout << timeline_json(events);
    else if (options.format == "html")
        std::cout << timeline_html(events);
    else
        std::cout << timeline_text(events);
    return exit_code::success;
}

} // namespace almondcart
