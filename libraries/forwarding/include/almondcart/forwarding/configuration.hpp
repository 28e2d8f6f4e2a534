#pragma once

#include <almondcart/core/instant.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace almondcart::forwarding {

/// Determines whether a request may be sent again after it may have run.
enum class request_kind
{
    idempotent,
    non_idempotent,
    stream, ///< server-sent events; non-idempotent unless the route allows resumption
};

std::string_view name_of(request_kind kind);

/// Weight of a service among the targets of a route.
struct service_share
{
    std::string service;
    int weight = 1;
};

struct route
{
    std::string name;
    std::string host;
    std::string path_prefix; ///< begins and ends with a slash
    request_kind kind = request_kind::non_idempotent;
    duration timeout{0};           ///< maximum time until the response is complete
    duration latency_objective{0}; ///< until the full response, or the first event of a stream
    int priority = 0;              ///< 0 is the most important
    std::vector<service_share> shares;
    int attempt_limit = 1;     ///< upstreams that one request may be sent to
    bool is_public = false;    ///< no API key is required
    bool is_resumable = false; ///< a stream may continue on another upstream

    bool is_retryable() const
    {
        return kind == request_kind::idempotent || (kind == request_kind::stream && is_resumable);
    }
};

/// Properties of the model engines of a service.
struct engine_traits
{
    int slots = 1;
    std::int64_t memory_tokens = 0; ///< KV cache capacity of one engine
    int tokens_per_event = 1;
};

struct service
{
    std::string name;
    int connection_limit = 1; ///< per upstream, across all gateways
    std::optional<engine_traits> engine;
    duration cold_time{0};            ///< for which an upstream stays cold after its start
    std::int64_t cold_per_second = 0; ///< requests that a cold upstream tolerates; 0: no limit
};

struct client_account
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< overrides the priority of the route
    std::optional<std::int64_t> prepaid_tokens;
};

/// Limits on client requests and connections.
struct client_limits
{
    std::size_t header_bytes = std::size_t{16} * 1024;
    std::size_t body_bytes = std::size_t{4} * 1024 * 1024;
    duration header_timeout{3000};
    duration idle_timeout{15'000};
};

/// One version of the operator's configuration.
struct configuration
{
    std::int64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    std::vector<client_account> accounts;
    client_limits limits;
};

/// Immutable view of a configuration with lookup indexes. A request uses the view that was current
/// when it arrived.
class configuration_view
{
public:
    explicit configuration_view(configuration content);

    std::int64_t version() const { return content_.version; }
    configuration const& content() const { return content_; }

    /// Returns the route of `host` with the longest matching prefix of `path`, or null. A port in
    /// `host` is ignored.
    route const* find_route(std::string_view host, std::string_view path) const;

    /// Returns the client account that owns the API key `key`, or null.
    client_account const* find_account(std::string_view key) const;

    /// Returns the prepaid total of the account `name`, or nothing if the account is unlimited or
    /// unknown.
    std::optional<std::int64_t> prepaid_tokens(std::string_view name) const;
    service const* find_service(std::string_view name) const;

    /// Whether any service limits what its cold upstreams get.
    bool limits_cold_starts() const { return limits_cold_starts_; }

    /// Whether any client account exists. Without accounts, requests need no API key.
    bool has_accounts() const { return !content_.accounts.empty(); }

private:
    configuration content_;
    std::map<std::string, std::vector<route const*>, std::less<>> routes_; ///< longest prefix first
    std::unordered_map<std::string, client_account const*> accounts_;      ///< by API key
    std::map<std::string, client_account const*, std::less<>> accounts_by_name_;
    std::map<std::string, service const*, std::less<>> services_;
    bool limits_cold_starts_ = false; ///< of any service
};

using configuration_pointer = std::shared_ptr<configuration_view const>;

} // namespace almondcart::forwarding
