#include "agent_configuration.hpp"

#include <almondcart/core/count.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/document/service_document.hpp>

#include <algorithm>

namespace almondcart {

namespace {

bool contains_upstream(service_document const& document, std::string const& upstream)
{
    for (auto const& pool : document.pools())
    {
        if (std::ranges::any_of(
                pool.upstreams, [&](upstream_definition const& it) { return it.name == upstream; }))
            return true;
    }
    return false;
}

} // namespace

absl::StatusOr<bool> agent_configuration::apply(Json::Value const& result)
{
    json_reader reader(result, "configuration_since", result_code::malformed_request);
    reader.integer("config_offset", -1, count_limit);
    auto const state_json = reader.value_or_null("state");
    if (auto const status = reader.finish(); !status.ok())
        return status;
    if (state_json.isNull())
        return false;
    auto state = configuration_state::from_json(state_json);
    if (!state.ok())
        return state.status();
    if (state->offset() <= state_.offset())
        return false;
    state_ = *std::move(state);
    return true;
}

bool agent_configuration::has_service(std::string const& service) const
{
    return state_.find_document(service) != nullptr;
}

std::optional<std::int64_t> agent_configuration::publish_offset(std::string const& upstream) const
{
    std::optional<std::int64_t> offset;
    for (auto const& [service, published] : state_.documents())
    {
        if (contains_upstream(*published.document, upstream))
            offset = std::max(offset.value_or(published.offset), published.offset);
    }
    return offset;
}

Json::Value agent_configuration::versions() const
{
    Json::Value json(Json::objectValue);
    for (auto const& [service, published] : state_.documents())
        json[service] = Json::Int64(published.version);
    return json;
}

} // namespace almondcart
