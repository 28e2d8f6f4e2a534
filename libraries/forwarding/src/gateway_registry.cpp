#include <almondcart/core/hash.hpp>
#include <almondcart/core/json.hpp>
#include <almondcart/forwarding/gateway_registry.hpp>

#include <utility>

namespace almondcart::forwarding {

std::optional<std::string> gateway_record::value() const
{
    if (is_removed)
        return std::nullopt;
    Json::Value json(Json::objectValue);
    json["started_ms"] = Json::Int64(started_ms);
    return to_compact_json(json);
}

gateway_registry::gateway_registry(std::string own)
    : own_(std::move(own))
    , gateways_{own_}
{}

void gateway_registry::apply(std::string const& vm, bool is_present)
{
    if (vm == own_)
        return;
    bool const is_changed = is_present ? gateways_.insert(vm).second : gateways_.erase(vm) > 0;
    version_ += is_changed ? 1 : 0;
}

void gateway_registry::replace_all(std::set<std::string> gateways)
{
    gateways.insert(own_);
    gateways_ = std::move(gateways);
    is_known_ = true;
    ++version_;
}

std::int64_t gateway_registry::share_of(std::string_view upstream_id, std::int64_t per_second) const
{
    if (!is_complete())
        return 0;
    auto const n = static_cast<std::int64_t>(gateways_.size());
    if (per_second >= n)
        return per_second / n;
    auto const seed = hash64(upstream_id);
    auto const own_hash = hash64(own_, seed);
    std::int64_t higher = 0;
    for (auto const& it : gateways_)
    {
        auto const hash = hash64(it, seed);
        // Equal hashes are ordered by name, so that not both gateways send.
        if (hash > own_hash || (hash == own_hash && it > own_))
            ++higher;
    }
    return higher < per_second ? 1 : 0;
}

} // namespace almondcart::forwarding
