#pragma once

#include <almondcart/core/identifiers.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/document/service_document.hpp>
#include <almondcart/ledger/configuration_state.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "chat_request.hpp"

namespace almondcart {

/// Parts of a client's HTTP request that determine how it is handled.
struct client_message
{
    std::string method;
    std::string path; ///< without the query
    std::string query;
    std::string content_type;
    std::string authorization;
    std::string request_key; ///< value of Idempotency-Key, may be empty
    std::string kind;        ///< value of Almondcart-Kind, may be empty
    std::string budget;      ///< value of Almondcart-Budget, may be empty
    std::string body;
};

/// Client's request after authentication and validation.
struct client_request
{
    request_id id;
    budget_id budget;
    kind_definition kind;
    std::string fingerprint; ///< equal for equal requests of one client account
    std::string upstream_path;
    client_message message;
    std::optional<chat_request> chat; ///< set for model requests
    token_count worst_case = 0;       ///< tokens to reserve for each attempt

    /// Authenticates the message, finds its account, kind and budget in the documents in force, and
    /// validates it. Reserves no tokens. Errors carry codes 1101 to 1110.
    static absl::StatusOr<client_request>
    create(client_message message, configuration_state const& configuration);
};

} // namespace almondcart
