#include <almondcart/core/hash.hpp>
#include <almondcart/core/identifiers.hpp>

#include <openssl/rand.h>

#include <algorithm>
#include <charconv>
#include <utility>
#include <vector>

namespace almondcart {

namespace {

constexpr std::size_t name_size_limit = 64;
constexpr std::size_t request_key_size_minimum = 8;
constexpr std::size_t request_key_size_limit = 128;

/// Splits at the first `separator`; both sides must be non-empty.
std::optional<std::pair<std::string_view, std::string_view>>
try_split(std::string_view text, char separator)
{
    auto const n = text.find(separator);
    if (n == std::string_view::npos || n == 0 || n + 1 == text.size())
        return std::nullopt;
    return std::pair(text.substr(0, n), text.substr(n + 1));
}

template<typename Number>
bool parse_integer_into(std::string_view text, Number& value)
{
    auto const [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    return ec == std::errc() && end == text.data() + text.size();
}

} // namespace

std::string to_text(account_id const& id)
{
    return id.service + "/" + id.account;
}

std::string to_text(budget_id const& id)
{
    return to_text(id.account) + "/" + id.budget;
}

std::string to_text(process_id const& id)
{
    return id.name + "@" + id.incarnation;
}

std::string to_text(grant_id const& id)
{
    return std::to_string(id.shard) + ":" + std::to_string(id.offset);
}

std::string to_text(request_id const& id)
{
    return to_text(id.account) + "#" + id.key;
}

std::optional<account_id> parse_account_id(std::string_view text)
{
    auto const parts = try_split(text, '/');
    if (!parts || !is_valid_name(parts->first) || !is_valid_name(parts->second))
        return std::nullopt;
    return account_id{std::string(parts->first), std::string(parts->second)};
}

std::optional<budget_id> parse_budget_id(std::string_view text)
{
    auto const n = text.rfind('/');
    if (n == std::string_view::npos || !is_valid_name(text.substr(n + 1)))
        return std::nullopt;
    auto const account = parse_account_id(text.substr(0, n));
    if (!account)
        return std::nullopt;
    return budget_id{*account, std::string(text.substr(n + 1))};
}

std::optional<process_id> parse_process_id(std::string_view text)
{
    auto const parts = try_split(text, '@');
    if (!parts)
        return std::nullopt;
    return process_id{std::string(parts->first), std::string(parts->second)};
}

std::optional<grant_id> parse_grant_id(std::string_view text)
{
    auto const parts = try_split(text, ':');
    grant_id id;
    if (!parts || !parse_integer_into(parts->first, id.shard) ||
        !parse_integer_into(parts->second, id.offset))
        return std::nullopt;
    return id;
}

std::optional<request_id> parse_request_id(std::string_view text)
{
    auto const parts = try_split(text, '#');
    if (!parts || !is_valid_request_key(parts->second))
        return std::nullopt;
    auto const account = parse_account_id(parts->first);
    if (!account)
        return std::nullopt;
    return request_id{*account, std::string(parts->second)};
}

bool is_valid_name(std::string_view name)
{
    return !name.empty() && name.size() <= name_size_limit &&
           std::ranges::all_of(
               name,
               [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-'; });
}

bool is_valid_request_key(std::string_view key)
{
    return key.size() >= request_key_size_minimum && key.size() <= request_key_size_limit &&
           std::ranges::all_of(key, [](char c) { return c > ' ' && c < '\x7f'; });
}

int shard_of(account_id const& id)
{
    return static_cast<int>(hash64(to_text(id)) % budget_shard_count);
}

std::string create_random_hex(std::size_t size)
{
    std::vector<unsigned char> buf((size + 1) / 2);
    RAND_bytes(buf.data(), static_cast<int>(buf.size()));
    return to_hex(buf).substr(0, size);
}

} // namespace almondcart
