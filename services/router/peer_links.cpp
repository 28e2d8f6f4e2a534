#include "peer_links.hpp"

#include <almondcart/core/count.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/core/status.hpp>

#include <spdlog/spdlog.h>

#include <utility>

namespace almondcart {

namespace {

constexpr duration heartbeat_timeout{1'000};
constexpr duration fetch_timeout{5'000};

} // namespace

peer_links::peer_links(
    process_id self,
    std::string own_address,
    std::vector<std::string> addresses,
    fleet_state const& state,
    membership& members,
    json_rpc_client& rpc,
    hooks hooks)
    : self_(std::move(self))
    , own_address_(std::move(own_address))
    , addresses_(std::move(addresses))
    , state_(state)
    , members_(members)
    , rpc_(rpc)
    , hooks_(std::move(hooks))
{}

void peer_links::send_heartbeats()
{
    for (auto const& address : addresses_)
    {
        rpc_.call(
            address,
            "peer_heartbeat",
            heartbeat(),
            heartbeat_timeout,
            [this](absl::StatusOr<Json::Value> const& reply)
            {
                if (reply.ok())
                    static_cast<void>(receive(*reply));
            });
    }
}

Json::Value peer_links::heartbeat() const
{
    Json::Value value(Json::objectValue);
    value["router"] = to_text(self_);
    value["address"] = own_address_;
    value["leaving"] = hooks_.is_leaving();
    value["config_offset"] = Json::Int64(state_.configuration().offset());
    value["shard_offsets"] = Json::Value(Json::arrayValue);
    for (int n = 0; n < budget_shard_count; ++n)
        value["shard_offsets"].append(Json::Int64(state_.shard(n).offset()));
    return value;
}

absl::Status peer_links::receive(Json::Value const& value)
{
    json_reader reader(value, "peer_heartbeat", result_code::malformed_request);
    auto const router = parse_process_id(reader.string("router"));
    if (!router)
        reader.fail("router", "a process id");
    peer_presence presence;
    presence.address = reader.string("address");
    presence.is_leaving = reader.boolean("leaving");
    auto const config_offset = reader.integer("config_offset", -1, count_limit);
    auto const offsets = reader.value_or_null("shard_offsets");
    if (!offsets.isArray() || offsets.size() != budget_shard_count)
        reader.fail("shard_offsets", "one offset for each shard");
    if (auto status = reader.finish(); !status.ok())
        return status;
    presence.router = *router;
    if (*router == self_ || !members_.apply(presence))
        return absl::OkStatus();
    if (config_offset > state_.configuration().offset())
        fetch_configuration(presence.address);
    if (!hooks_.needs_snapshots())
        return absl::OkStatus();
    for (int n = 0; n < budget_shard_count; ++n)
    {
        auto const& offset = offsets[static_cast<Json::ArrayIndex>(n)];
        if (offset.isInt64() && offset.asInt64() > state_.shard(n).offset())
            fetch_shard(presence.address, n);
    }
    return absl::OkStatus();
}

void peer_links::notify_all(std::string const& method, Json::Value const& params)
{
    for (auto const& peer : members_.live_peers())
    {
        if (auto const* address = members_.find_peer_address(peer))
            rpc_.call(*address, method, params, heartbeat_timeout, [](auto const&) {});
    }
}

void peer_links::fetch_configuration(std::string const& address)
{
    if (!streams_being_fetched_.insert(config_stream()).second)
        return;
    Json::Value params(Json::objectValue);
    params["offset"] = Json::Int64(state_.configuration().offset());
    rpc_.call(
        address,
        "configuration_since",
        params,
        fetch_timeout,
        [this](absl::StatusOr<Json::Value> const& reply)
        {
            streams_being_fetched_.erase(config_stream());
            if (!reply.ok() || !(*reply)["state"].isObject())
                return;
            auto const offset = (*reply)["config_offset"].asInt64();
            spdlog::info("[config] Fetched the configuration at offset {} from a peer.", offset);
            hooks_.offer_snapshot(config_stream(), offset, (*reply)["state"]);
        });
}

void peer_links::fetch_shard(std::string const& address, int shard)
{
    auto const stream = budget_stream(shard);
    if (!streams_being_fetched_.insert(stream).second)
        return;
    Json::Value params(Json::objectValue);
    params["shard"] = shard;
    params["above_offset"] = Json::Int64(state_.shard(shard).offset());
    rpc_.call(
        address,
        "shard_snapshot",
        params,
        fetch_timeout,
        [this, stream](absl::StatusOr<Json::Value> const& reply)
        {
            streams_being_fetched_.erase(stream);
            if (!reply.ok() || !(*reply)["state"].isObject())
                return;
            hooks_.offer_snapshot(stream, (*reply)["offset"].asInt64(), (*reply)["state"]);
        });
}

} // namespace almondcart
