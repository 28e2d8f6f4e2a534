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

/// What may be repeated of a request.
enum class request_kind
{
    idempotent,
    non_idempotent,
    stream, ///< server-sent events; non-idempotent unless the route allows resumption
};

std::string_view name_of(request_kind kind);

/// Share of a route's traffic that goes to a service.
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
    duration timeout{0};           ///< longest time a caller is kept waiting
    duration latency_objective{0}; ///< up to the whole answer, or to the first event of a stream
    int priority = 0;              ///< 0 is the most important
    std::vector<service_share> shares;
    int attempt_limit = 1;     ///< upstreams to which one request may be sent
    bool is_public = false;    ///< needs no key
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
    std::int64_t memory_tokens = 0; ///< KV cache of one engine
    int tokens_per_event = 1;
};

struct service
{
    std::string name;
    int connection_limit = 1; ///< per upstream, over all routers
    std::optional<engine_traits> engine;
};

struct client_account
{
    std::string name;
    std::vector<std::string> keys;
    std::optional<int> priority; ///< replaces the priority of the route
    std::optional<std::int64_t> prepaid_tokens;
};

/// Bounds on what clients may send.
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

/// Indexed, immutable form of a configuration. Requests keep the one under which they arrived.
class configuration_view
{
public:
    explicit configuration_view(configuration content);

    std::int64_t version() const { return content_.version; }
    configuration const& content() const { return content_; }

    /// Route with the longest prefix of `path` among those of `host`; null if there is none. A
    /// port in `host` is ignored.
    route const* find_route(std::string_view host, std::string_view path) const;

    /// Account that holds `key`; null if there is none.
    client_account const* find_account(std::string_view key) const;

    /// Prepaid total of the account `name`; nothing if it is not limited or not known.
    std::optional<std::int64_t> prepaid_tokens(std::string_view name) const;
    service const* find_service(std::string_view name) const;

    /// Whether callers need keys at all.
    bool has_accounts() const { return !content_.accounts.empty(); }

private:
    configuration content_;
    std::map<std::string, std::vector<route const*>, std::less<>> routes_; ///< longest prefix first
    std::unordered_map<std::string, client_account const*> accounts_;      ///< by key
    std::map<std::string, client_account const*, std::less<>> accounts_by_name_;
    std::map<std::string, service const*, std::less<>> services_;
};

using configuration_pointer = std::shared_ptr<configuration_view const>;

} // namespace almondcart::forwarding
