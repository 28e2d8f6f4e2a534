#include "fleet_state.hpp"

#include <almondcart/core/status.hpp>

#include <algorithm>
#include <utility>

namespace almondcart {

namespace {

std::vector<std::string> create_stream_names()
{
    std::vector<std::string> names = {config_stream()};
    for (int n = 0; n < budget_shard_count; ++n)
        names.push_back(budget_stream(n));
    return names;
}

} // namespace

fleet_state::fleet_state()
{
    for (int n = 0; n < budget_shard_count; ++n)
        shards_.emplace_back(n);
}

void fleet_state::apply(std::string_view stream, stored_record const& record)
{
    if (stream == config_stream())
    {
        configuration_.apply(record);
        hooks_.configuration_changed(configuration_);
        return;
    }
    if (auto* shard = find_shard(stream))
    {
        shard->apply(record);
        hooks_.record_applied(record, *shard);
    }
}

void fleet_state::skip(std::string_view stream, std::int64_t offset, std::int64_t time_ms)
{
    if (stream == config_stream())
        configuration_.skip(offset, time_ms);
    else if (auto* shard = find_shard(stream))
        shard->skip(offset, time_ms);
}

absl::Status fleet_state::replace(std::string_view stream, Json::Value const& state)
{
    if (stream == config_stream())
    {
        auto parsed = configuration_state::from_json(state);
        if (!parsed.ok())
            return parsed.status();
        if (parsed->offset() <= configuration_.offset())
            return absl::OkStatus();
        configuration_ = *std::move(parsed);
        hooks_.configuration_changed(configuration_);
        return absl::OkStatus();
    }
    auto* shard = find_shard(stream);
    if (shard == nullptr)
        return make_status(result_code::malformed_request, "unknown stream " + std::string(stream));
    auto parsed = budget_shard_state::from_json(state);
    if (!parsed.ok())
        return parsed.status();
    if (parsed->shard() != shard->shard() || parsed->offset() <= shard->offset())
        return absl::OkStatus();
    *shard = *std::move(parsed);
    hooks_.shard_replaced(*shard);
    return absl::OkStatus();
}

std::int64_t fleet_state::offset(std::string_view stream) const
{
    if (stream == config_stream())
        return configuration_.offset();
    auto const* shard = find_shard(stream);
    return shard == nullptr ? -1 : shard->offset();
}

Json::Value fleet_state::to_json(std::string_view stream) const
{
    if (stream == config_stream())
        return configuration_.to_json();
    auto const* shard = find_shard(stream);
    return shard == nullptr ? Json::Value() : shard->to_json();
}

std::vector<std::string> const& fleet_state::streams()
{
    static std::vector<std::string> const names = create_stream_names();
    return names;
}

bool fleet_state::is_registered(process_id const& agent) const
{
    return std::ranges::all_of(
        shards_,
        [&agent](auto const& shard)
        {
            auto const it = shard.agents().find(agent);
            return it != shard.agents().end() && it->second.stopped_at < 0;
        });
}

std::int64_t fleet_state::time_ms() const
{
    std::int64_t newest = configuration_.time_ms();
    for (auto const& shard : shards_)
        newest = std::max(newest, shard.time_ms());
    return newest;
}

budget_shard_state* fleet_state::find_shard(std::string_view stream)
{
    auto const it = std::ranges::find(streams(), stream);
    if (it == streams().end() || it == streams().begin())
        return nullptr;
    // The configuration stream comes first, followed by the shards in order.
    return &shards_[static_cast<std::size_t>(it - streams().begin()) - 1];
}

budget_shard_state const* fleet_state::find_shard(std::string_view stream) const
{
    return const_cast<fleet_state*>(this)->find_shard(stream);
}

} // namespace almondcart
