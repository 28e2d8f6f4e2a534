#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/core/result_code.hpp>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <string_view>

namespace almondcart {

/// Error response to a client whose request has no result.
struct refusal
{
    result_code code = result_code::internal_error;
    std::string detail;
    execution_state ran = execution_state::unknown;
    std::optional<duration> retry_after;
};

/// Creates a refusal with the default `ran` of the result code.
refusal
make_refusal(result_code code, std::string_view detail, std::optional<duration> retry_after = {});

/// Creates an error status that carries `code` as a payload.
absl::Status make_status(result_code code, std::string_view detail);

/// Code carried by `status`. `ok` for an OK status, and `internal_error` if it carries none.
result_code code_of(absl::Status const& status);

/// Message of `status` as a `std::string`.
std::string message_of(absl::Status const& status);

} // namespace almondcart
