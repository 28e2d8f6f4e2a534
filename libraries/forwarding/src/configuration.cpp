#include <almondcart/core/text.hpp>
#include <almondcart/forwarding/configuration.hpp>

#include <algorithm>
#include <array>

namespace almondcart::forwarding {

std::string_view name_of(request_kind kind)
{
    static constexpr std::array<std::string_view, 3> names{
        "idempotent", "non_idempotent", "stream"};
    return names.at(static_cast<std::size_t>(kind));
}

configuration_view::configuration_view(configuration content)
    : content_(std::move(content))
{
    for (auto const& it : content_.routes)
        routes_[to_lower(it.host)].push_back(&it);
    for (auto& [host, routes] : routes_)
        std::stable_sort(
            routes.begin(),
            routes.end(),
            [](route const* left, route const* right)
            { return left->path_prefix.size() > right->path_prefix.size(); });
    for (auto const& account : content_.accounts)
    {
        accounts_by_name_.emplace(account.name, &account);
        for (auto const& key : account.keys)
            accounts_.emplace(key, &account);
    }
    for (auto const& it : content_.services)
    {
        services_.emplace(it.name, &it);
        limits_cold_starts_ = limits_cold_starts_ || it.cold_per_second > 0;
    }
}

route const* configuration_view::find_route(std::string_view host, std::string_view path) const
{
    auto const it = routes_.find(to_lower(host.substr(0, host.find(':'))));
    if (it == routes_.end())
        return nullptr;
    auto const match = std::find_if(
        it->second.begin(),
        it->second.end(),
        [&](route const* candidate) { return path.starts_with(candidate->path_prefix); });
    return match == it->second.end() ? nullptr : *match;
}

client_account const* configuration_view::find_account(std::string_view key) const
{
    auto const it = accounts_.find(std::string(key));
    return it == accounts_.end() ? nullptr : it->second;
}

std::optional<std::int64_t> configuration_view::prepaid_tokens(std::string_view name) const
{
    auto const it = accounts_by_name_.find(name);
    return it == accounts_by_name_.end() ? std::nullopt : it->second->prepaid_tokens;
}

service const* configuration_view::find_service(std::string_view name) const
{
    auto const it = services_.find(name);
    return it == services_.end() ? nullptr : it->second;
}

} // namespace almondcart::forwarding
