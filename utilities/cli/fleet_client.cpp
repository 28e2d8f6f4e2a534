#include "fleet_client.hpp"

#include <almondcart/core/clock.hpp>
#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>

#include <optional>
#include <utility>

namespace almondcart {

namespace {

constexpr duration call_timeout{15'000};
constexpr duration fetch_timeout{5'000};
constexpr std::size_t incarnation_size = 8;

struct pending_fetch
{
    std::string body;
    std::optional<absl::Status> status;
};

} // namespace

fleet_client::fleet_client()
    : client_(loop_)
    , journal_(
          {"command-line", create_random_hex(incarnation_size)},
          [] { return system_clock_source::wall_time_ms(); })
    , rpc_(loop_, client_, journal_)
{}

absl::StatusOr<Json::Value> fleet_client::fetch(std::string const& address, std::string const& path)
{
    return fetch_all({address}, path).front();
}

std::vector<absl::StatusOr<Json::Value>>
fleet_client::fetch_all(std::vector<std::string> const& addresses, std::string const& path)
{
    std::vector<pending_fetch> pending(addresses.size());
    std::size_t remaining = addresses.size();
    for (std::size_t i = 0; i < addresses.size(); ++i)
    {
        http_request request;
        request.address = addresses[i];
        request.path = path;
        request.first_byte_timeout = fetch_timeout;
        request.idle_timeout = fetch_timeout;
        http_callbacks callbacks;
        callbacks.on_body = [&pending, i](std::string_view data) { pending[i].body += data; };
        callbacks.on_done = [&pending, &remaining, i](absl::Status status)
        {
            pending[i].status = std::move(status);
            --remaining;
        };
        client_.request(std::move(request), std::move(callbacks));
    }
    loop_.run_until([&remaining] { return remaining == 0; });

    std::vector<absl::StatusOr<Json::Value>> results;
    for (auto const& response : pending)
    {
        if (response.status->ok())
            results.push_back(parse_json(response.body));
        else
            results.emplace_back(*response.status);
    }
    return results;
}

absl::StatusOr<Json::Value>
fleet_client::call(std::string const& address, std::string const& method, Json::Value const& params)
{
    std::optional<absl::StatusOr<Json::Value>> result;
    rpc_.call(
        address,
        method,
        params,
        call_timeout,
        [&result](absl::StatusOr<Json::Value> value) { result = std::move(value); });
    loop_.run_until([&result] { return result.has_value(); });
    return *std::move(result);
}

absl::StatusOr<std::vector<fleet_process>> fleet_client::list_processes(std::string const& address)
{
    auto const status = fetch(address, "/status");
    if (!status.ok())
        return status.status();
    std::vector<fleet_process> found = {{(*status)["process"].asString(), address, "router"}};
    for (auto const& peer : (*status)["peers"])
        found.push_back({peer["process"].asString(), peer["address"].asString(), "router"});
    for (auto const& agent : (*status)["agents"])
    {
        if (agent["state"].asString() != "heartbeats_missed")
            found.push_back({agent["process"].asString(), agent["address"].asString(), "agent"});
    }
    return found;
}

void fleet_client::pause(duration time)
{
    bool has_elapsed = false;
    loop_.after(time, [&has_elapsed] { has_elapsed = true; });
    loop_.run_until([&has_elapsed] { return has_elapsed; });
}

} // namespace almondcart
