#include "client_request.hpp"

#include <almondcart/core/hash.hpp>

#include <algorithm>
#include <utility>

namespace almondcart {

namespace {

constexpr std::string_view bearer_scheme = "Bearer ";
constexpr std::string_view services_path = "/v1/services/";
constexpr std::size_t generated_key_size = 32;

struct account_match
{
    service_document const* document = nullptr;
    client_account_definition const* account = nullptr;
};

std::optional<account_match>
find_account(std::string_view authorization, configuration_state const& configuration)
{
    if (!authorization.starts_with(bearer_scheme))
        return std::nullopt;
    auto const key_hash = sha256_hex(authorization.substr(bearer_scheme.size()));
    for (auto const& [service, published] : configuration.documents())
    {
        if (auto const* account = published.document->find_account_by_key(key_hash))
            return account_match{published.document.get(), account};
    }
    return std::nullopt;
}

/// Returns the path below `/v1/services/<service>` for plain services, and `path` itself otherwise.
absl::StatusOr<std::string> find_upstream_path(std::string const& path, std::string const& service)
{
    if (!path.starts_with(services_path))
        return path;
    auto const rest = std::string_view(path).substr(services_path.size());
    auto const slash = rest.find('/');
    if (rest.substr(0, slash) != service)
        return make_status(result_code::unknown_service, "the key does not belong to this service");
    return slash == std::string_view::npos ? "/" : std::string(rest.substr(slash));
}

absl::StatusOr<kind_definition>
find_kind(service_document const& document, std::string const& name, std::string const& path)
{
    auto const* kind = name.empty() ? document.find_kind_for_path(path) : document.find_kind(name);
    if (kind == nullptr || !path.starts_with(kind->path))
        return make_status(
            result_code::unknown_kind, "no kind of work of this service matches the request");
    return *kind;
}

absl::StatusOr<std::string> find_request_key(std::string const& key, kind_definition const& kind)
{
    if (key.empty() && kind.is_idempotent)
        return create_random_hex(generated_key_size);
    if (key.empty())
        return make_status(
            result_code::request_key_required,
            "kind \"" + kind.name + "\" is not idempotent and needs Idempotency-Key");
    if (!is_valid_request_key(key))
        return make_status(
            result_code::invalid_request_key,
            "Idempotency-Key must have 8 to 128 printable characters without spaces");
    return key;
}

absl::StatusOr<budget_id>
find_budget(service_document const& document, std::string const& account, std::string const& name)
{
    auto const* budget =
        name.empty() ? document.find_first_budget(account) : document.find_budget(account, name);
    if (budget == nullptr)
        return make_status(
            result_code::unknown_budget,
            name.empty() ? "the client account has no budget"
                         : "the client account has no budget \"" + name + "\"");
    return budget_id{{document.service(), account}, budget->name};
}

std::string fingerprint_of(account_id const& account, client_message const& message)
{
    return sha256_hex(
        to_text(account) + "\n" + message.method + " " + message.path + "?" + message.query + "\n" +
        message.body);
}

absl::Status read_chat(client_request& request)
{
    auto chat = chat_request::parse(request.message.body, request.kind.max_output_tokens);
    if (!chat.ok())
        return chat.status();
    if (std::ranges::find(request.kind.models, chat->model) == request.kind.models.end())
        return make_status(
            result_code::unknown_model,
            "kind \"" + request.kind.name + "\" has no model \"" + chat->model + "\"");
    request.worst_case = chat->prompt_bound + chat->output_cap;
    request.chat = *std::move(chat);
    return absl::OkStatus();
}

} // namespace

absl::StatusOr<client_request>
client_request::create(client_message message, configuration_state const& configuration)
{
    auto const match = find_account(message.authorization, configuration);
    if (!match)
        return make_status(result_code::unknown_account, "no client account has this key");
    auto const& service = match->document->service();
    auto path = find_upstream_path(message.path, service);
    if (!path.ok())
        return path.status();
    auto kind = find_kind(*match->document, message.kind, *path);
    if (!kind.ok())
        return kind.status();
    auto key = find_request_key(message.request_key, *kind);
    if (!key.ok())
        return key.status();

    client_request request;
    request.id = request_id{{service, match->account->name}, *std::move(key)};
    request.kind = *std::move(kind);
    request.upstream_path = *std::move(path);
    request.fingerprint = fingerprint_of(request.id.account, message);
    request.message = std::move(message);
    request.worst_case = request.kind.tokens_per_call;
    if (!request.kind.models.empty())
    {
        if (auto status = read_chat(request); !status.ok())
            return status;
    }
    if (request.worst_case > 0)
    {
        auto budget = find_budget(*match->document, match->account->name, request.message.budget);
        if (!budget.ok())
            return budget.status();
        request.budget = *std::move(budget);
    }
    return request;
}

} // namespace almondcart
