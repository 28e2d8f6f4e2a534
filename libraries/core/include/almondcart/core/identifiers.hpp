#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondcart {

/// Number of budget streams on the log. A constant instead of a setting, because all processes must
/// agree on it: it determines which stream holds a client account's records.
inline constexpr int budget_shard_count = 16;

/// Client account of one service. Text form "service/account".
struct account_id
{
    std::string service;
    std::string account;

    // clang-tidy 14 takes the zero of rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(account_id const&, account_id const&) = default;
};

/// Prepaid budget of a client account. Text form "service/account/budget".
struct budget_id
{
    account_id account;
    std::string budget;

    // clang-tidy 14 takes the zero of rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(budget_id const&, budget_id const&) = default;
};

/// One run of a process. Text form "name@incarnation".
struct process_id
{
    std::string name;
    std::string incarnation;

    // clang-tidy 14 takes the zero of rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(process_id const&, process_id const&) = default;
};

/// Grant of part of a budget, identified by the log offset of its record. Text form "shard:offset".
struct grant_id
{
    int shard = 0;
    std::int64_t offset = 0;

    // clang-tidy 14 takes the zero of rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(grant_id const&, grant_id const&) = default;
};

/// Request of a client account, identified by its request key. Text form "service/account#key".
struct request_id
{
    account_id account;
    std::string key;

    // clang-tidy 14 takes the zero of rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    friend auto operator<=>(request_id const&, request_id const&) = default;
};

std::string to_text(account_id const& id);
std::string to_text(budget_id const& id);
std::string to_text(process_id const& id);
std::string to_text(grant_id const& id);
std::string to_text(request_id const& id);

/// The parsers return nullopt if the text is not in the documented form.
std::optional<account_id> parse_account_id(std::string_view text);
std::optional<budget_id> parse_budget_id(std::string_view text);
std::optional<process_id> parse_process_id(std::string_view text);
std::optional<grant_id> parse_grant_id(std::string_view text);
std::optional<request_id> parse_request_id(std::string_view text);

/// Whether `name` has 1 to 64 characters of `[a-z0-9-]`.
bool is_valid_name(std::string_view name);

/// Whether `key` has 8 to 128 printable ASCII characters without spaces.
bool is_valid_request_key(std::string_view key);

/// Shard, 0 to `budget_shard_count` - 1, whose stream holds the account's records.
int shard_of(account_id const& id);

/// Creates a random identifier of `size` hexadecimal digits, unique per call for practical
/// purposes.
std::string create_random_hex(std::size_t size);

} // namespace almondcart
