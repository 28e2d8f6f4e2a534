#include <iostream>
#include <set>

#include "commands.hpp"
#include "document_file.hpp"
#include "output.hpp"

namespace almondcart {

namespace {

constexpr duration poll_interval{100};

/// Returns the processes that have not reported the configuration at `offset` yet.
absl::StatusOr<std::set<std::string>>
find_outdated_processes(fleet_client& client, std::string const& router, std::int64_t offset)
{
    auto const processes = client.list_processes(router);
    if (!processes.ok())
        return processes.status();
    std::vector<std::string> addresses;
    for (auto const& process : *processes)
        addresses.push_back(process.address);
    auto const statuses = client.fetch_all(addresses, "/status");
    std::set<std::string> outdated;
    for (std::size_t i = 0; i < statuses.size(); ++i)
    {
        bool const is_current = statuses[i].ok() && (*statuses[i])["config_offset"].isInt64() &&
                                (*statuses[i])["config_offset"].asInt64() >= offset;
        if (!is_current)
            outdated.insert((*processes)[i].process);
    }
    return outdated;
}

exit_code
wait_until_applied(fleet_client& client, publish_options const& options, std::int64_t offset)
{
    std::size_t last_count = 0;
    for (duration waited{0}; waited < options.wait_limit; waited += poll_interval)
    {
        auto const outdated = find_outdated_processes(client, options.router, offset);
        if (!outdated.ok())
            return report_error(outdated.status());
        if (outdated->empty())
        {
            std::cout << "in force at every live process\n";
            return exit_code::success;
        }
        if (outdated->size() != last_count)
            std::cout << "waiting for " << outdated->size() << " processes, first "
                      << *outdated->begin() << "\n";
        last_count = outdated->size();
        client.pause(poll_interval);
    }
    std::cerr << "error: accepted, but not in force at every live process within "
              << options.wait_limit.count() << " ms\n";
    return exit_code::unreachable;
}

} // namespace

exit_code publish_document(fleet_client& client, publish_options const& options)
{
    auto const document = read_document_file(options.file);
    if (!document.ok())
        return report_error(document.status());
    Json::Value params(Json::objectValue);
    params["document"] = document->json();
    params["author"] = options.author;
    if (options.base_version >= 0)
        params["base_version"] = Json::Int64(options.base_version);
    auto const result = client.call(options.router, "publish", params);
    if (!result.ok())
        return report_error(result.status());
    auto const offset = (*result)["offset"].asInt64();
    std::cout << "accepted version " << (*result)["version"].asInt64() << " of service \""
              << document->service() << "\" at offset " << offset << "\n";
    return options.should_wait ? wait_until_applied(client, options, offset) : exit_code::success;
}

} // namespace almondcart
