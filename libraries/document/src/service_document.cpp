#include <almondcart/core/count.hpp>
#include <almondcart/core/json_members.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/document/service_document.hpp>

#include <absl/strings/str_cat.h>

#include <algorithm>
#include <array>
#include <limits>
#include <set>
#include <utility>

namespace almondcart {

namespace {

constexpr std::array<std::string_view, 2> preference_names = {{"false_refusals", "overspend"}};

constexpr std::int64_t output_tokens_limit = 1'000'000;
constexpr std::int64_t tokens_per_call_limit = 1'000'000'000;
constexpr std::int64_t deadline_limit_ms = 86'400'000;
constexpr std::int64_t slots_limit = 10'000;
constexpr std::size_t sha256_hex_size = 64;

bool is_sha256_hex(std::string const& text)
{
    return text.size() == sha256_hex_size &&
           std::ranges::all_of(
               text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
}

budget_definition read_budget(json_reader& reader)
{
    budget_definition budget;
    budget.account = read_name(reader, "account");
    budget.name = read_name(reader, "name");
    budget.total_tokens = reader.integer("total_tokens", 0, count_limit);
    budget.preference =
        read_budget_preference(reader, reader.string_or("preference", "false_refusals"));
    return budget;
}

client_account_definition read_account(json_reader& reader)
{
    client_account_definition account;
    account.name = read_name(reader, "name");
    account.key_sha256 = reader.strings("key_sha256");
    if (!std::ranges::all_of(account.key_sha256, is_sha256_hex))
        reader.fail("key_sha256", "64 lower-case hexadecimal digits for each key");
    return account;
}

kind_definition read_kind(json_reader& reader)
{
    kind_definition kind;
    kind.name = read_name(reader, "name");
    kind.priority =
        static_cast<int>(reader.integer("priority", 0, service_document::priority_limit));
    kind.deadline = duration(reader.integer("deadline_ms", 1, deadline_limit_ms));
    kind.pool = read_name(reader, "pool");
    kind.path = reader.string("path");
    if (kind.path.empty() || kind.path.front() != '/')
        reader.fail("path", "a path that starts with /");
    kind.max_output_tokens =
        static_cast<int>(reader.integer_or("max_output_tokens", 1, output_tokens_limit, 0));
    kind.tokens_per_call = reader.integer_or("tokens_per_call", 0, tokens_per_call_limit, 0);
    kind.is_idempotent = reader.boolean("idempotent");
    kind.models = reader.strings_or("models", {});
    if (!kind.models.empty() && kind.max_output_tokens == 0)
        reader.fail("max_output_tokens", "a cap on the output of each request to a model");
    return kind;
}

upstream_definition read_upstream(json_reader& reader)
{
    upstream_definition upstream;
    upstream.name = read_name(reader, "name");
    upstream.models = reader.strings_or("models", {});
    upstream.role = reader.string_or("role", "");
    upstream.slots = static_cast<int>(reader.integer("slots", 1, slots_limit));
    return upstream;
}

pool_definition read_pool(json_reader& reader)
{
    pool_definition pool;
    pool.name = read_name(reader, "name");
    reader.objects(
        "upstreams", [&pool](json_reader& it) { pool.upstreams.push_back(read_upstream(it)); });
    return pool;
}

/// First value that occurs twice, or nothing.
std::optional<std::string> find_duplicate(std::vector<std::string> values)
{
    std::ranges::sort(values);
    auto const it = std::ranges::adjacent_find(values);
    if (it == values.end())
        return std::nullopt;
    return *it;
}

template<typename Items, typename Projection>
std::vector<std::string> collect(Items const& items, Projection projection)
{
    std::vector<std::string> values;
    values.reserve(items.size());
    for (auto const& item : items)
        values.push_back(projection(item));
    return values;
}

template<typename Items>
auto const* find_by_name(Items const& items, std::string_view name)
{
    auto const it = std::ranges::find(
        items, name, [](auto const& item) -> auto const& { return item.name; });
    return it == items.end() ? nullptr : &*it;
}

absl::Status check_unique_names(service_document const& document, std::string const& source)
{
    std::vector<std::string> upstreams;
    for (auto const& pool : document.pools())
    {
        for (auto const& upstream : pool.upstreams)
            upstreams.push_back(upstream.name);
    }
    std::vector<std::string> keys;
    for (auto const& account : document.client_accounts())
        keys.insert(keys.end(), account.key_sha256.begin(), account.key_sha256.end());

    auto const name = [](auto const& item) { return item.name; };
    std::vector<std::pair<std::string, std::vector<std::string>>> const lists = {
        {"client account", collect(document.client_accounts(), name)},
        {"budget",
         collect(document.budgets(), [](auto const& it) { return it.account + "/" + it.name; })},
        {"kind", collect(document.kinds(), name)},
        {"pool", collect(document.pools(), name)},
        {"upstream", std::move(upstreams)},
        {"key_sha256", std::move(keys)},
    };
    for (auto const& [what, values] : lists)
    {
        if (auto const duplicate = find_duplicate(values))
            return make_status(
                result_code::document_invalid,
                absl::StrCat(source, ": ", what, " \"", *duplicate, "\" is defined twice"));
    }
    return absl::OkStatus();
}

absl::Status check_references(service_document const& document, std::string const& source)
{
    for (auto const& kind : document.kinds())
    {
        if (document.find_pool(kind.pool) == nullptr)
            return make_status(
                result_code::document_invalid,
                source + ": kind \"" + kind.name + "\" names the missing pool \"" + kind.pool +
                    "\"");
    }
    for (auto const& budget : document.budgets())
    {
        if (find_by_name(document.client_accounts(), budget.account) == nullptr)
            return make_status(
                result_code::document_invalid,
                source + ": budget \"" + budget.name + "\" names the missing client account \"" +
                    budget.account + "\"");
    }
    return absl::OkStatus();
}

} // namespace

std::string_view name_of(budget_preference preference)
{
    return preference_names.at(static_cast<std::size_t>(preference));
}

std::optional<budget_preference> parse_budget_preference(std::string_view name)
{
    auto const it = std::ranges::find(preference_names, name);
    if (it == preference_names.end())
        return std::nullopt;
    return static_cast<budget_preference>(it - preference_names.begin());
}

budget_preference read_budget_preference(json_reader& reader, std::string_view text)
{
    auto const preference = parse_budget_preference(text);
    if (!preference)
        reader.fail("preference", "\"false_refusals\" or \"overspend\"");
    return preference.value_or(budget_preference::false_refusals);
}

absl::StatusOr<service_document>
service_document::parse(Json::Value const& value, std::string const& source)
{
    service_document document;
    json_reader reader(value, source, result_code::document_invalid);
    document.service_ = read_name(reader, "service");
    static_cast<void>(reader.string_or("version_note", ""));
    reader.objects(
        "budgets", [&document](json_reader& it) { document.budgets_.push_back(read_budget(it)); });
    reader.objects(
        "client_accounts",
        [&document](json_reader& it) { document.accounts_.push_back(read_account(it)); });
    reader.objects(
        "kinds", [&document](json_reader& it) { document.kinds_.push_back(read_kind(it)); });
    reader.objects(
        "pools", [&document](json_reader& it) { document.pools_.push_back(read_pool(it)); });
    if (auto status = reader.finish(); !status.ok())
        return status;
    if (auto status = check_unique_names(document, source); !status.ok())
        return status;
    if (auto status = check_references(document, source); !status.ok())
        return status;
    document.json_ = value;
    return document;
}

kind_definition const* service_document::find_kind(std::string_view name) const
{
    return find_by_name(kinds_, name);
}

pool_definition const* service_document::find_pool(std::string_view name) const
{
    return find_by_name(pools_, name);
}

budget_definition const*
service_document::find_budget(std::string_view account, std::string_view name) const
{
    auto const it = std::ranges::find_if(
        budgets_,
        [&](auto const& budget) { return budget.account == account && budget.name == name; });
    return it == budgets_.end() ? nullptr : &*it;
}

budget_definition const* service_document::find_first_budget(std::string_view account) const
{
    auto const it = std::ranges::find(budgets_, account, &budget_definition::account);
    return it == budgets_.end() ? nullptr : &*it;
}

kind_definition const* service_document::find_kind_for_path(std::string_view path) const
{
    auto const it = std::ranges::find_if(
        kinds_, [path](auto const& kind) { return path.starts_with(kind.path); });
    return it == kinds_.end() ? nullptr : &*it;
}

client_account_definition const*
service_document::find_account_by_key(std::string_view key_sha256) const
{
    auto const it = std::ranges::find_if(
        accounts_,
        [key_sha256](auto const& account)
        { return std::ranges::find(account.key_sha256, key_sha256) != account.key_sha256.end(); });
    return it == accounts_.end() ? nullptr : &*it;
}

} // namespace almondcart
