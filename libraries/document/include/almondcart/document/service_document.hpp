#pragma once

#include <almondcart/core/identifiers.hpp>
#include <almondcart/core/instant.hpp>
#include <almondcart/core/json_reader.hpp>

#include <absl/status/statusor.h>
#include <json/json.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondcart {

/// The error that the owner of a budget wants to avoid more.
enum class budget_preference
{
    false_refusals,
    overspend,
};

std::string_view name_of(budget_preference preference);
std::optional<budget_preference> parse_budget_preference(std::string_view name);

/// Parses `text`, the value of the member "preference". Sets an error on the reader if it is not a
/// preference.
budget_preference read_budget_preference(json_reader& reader, std::string_view text);

/// Prepaid budget of a client account.
struct budget_definition
{
    std::string account;
    std::string name;
    std::int64_t total_tokens = 0; ///< cumulative; a top-up raises it
    budget_preference preference = budget_preference::false_refusals;
};

struct client_account_definition
{
    std::string name;
    std::vector<std::string> key_sha256; ///< 64 lower-case hexadecimal digits each
};

/// Kind of work that clients can request.
struct kind_definition
{
    std::string name;
    int priority = 0;     ///< 0 is the highest
    duration deadline{0}; ///< until the first byte of the response
    std::string pool;
    std::string path;          ///< path prefix that selects this kind if the request names none
    int max_output_tokens = 0; ///< cap on the output of one request; 0 for plain services
    std::int64_t tokens_per_call = 0; ///< fixed charge of a call to a plain service
    bool is_idempotent = true;
    std::vector<std::string> models; ///< empty for plain services
};

struct upstream_definition
{
    std::string name;
    std::vector<std::string> models;
    std::string role;
    int slots = 1; ///< requests that the upstream runs concurrently
};

struct pool_definition
{
    std::string name;
    std::vector<upstream_definition> upstreams;
};

/// Validated document of one service: budgets, client accounts, kinds of work and upstream pools.
class service_document
{
public:
    static constexpr int priority_limit = 9;

    /// Parses and validates a document. Errors carry `document_invalid` and name `source` (the file
    /// or record), the member and what was expected.
    static absl::StatusOr<service_document>
    parse(Json::Value const& value, std::string const& source);

    std::string const& service() const { return service_; }
    std::vector<budget_definition> const& budgets() const { return budgets_; }
    std::vector<client_account_definition> const& client_accounts() const { return accounts_; }
    std::vector<kind_definition> const& kinds() const { return kinds_; }
    std::vector<pool_definition> const& pools() const { return pools_; }

    kind_definition const* find_kind(std::string_view name) const;
    pool_definition const* find_pool(std::string_view name) const;
    budget_definition const* find_budget(std::string_view account, std::string_view name) const;

    /// First budget of the account, or null.
    budget_definition const* find_first_budget(std::string_view account) const;

    /// First kind whose path is a prefix of `path`, or null.
    kind_definition const* find_kind_for_path(std::string_view path) const;

    /// Client account whose key has this SHA-256, or null.
    client_account_definition const* find_account_by_key(std::string_view key_sha256) const;

    /// The JSON form as published.
    Json::Value const& json() const { return json_; }

private:
    std::string service_;
    std::vector<budget_definition> budgets_;
    std::vector<client_account_definition> accounts_;
    std::vector<kind_definition> kinds_;
    std::vector<pool_definition> pools_;
    Json::Value json_;
};

} // namespace almondcart
