#pragma once

#include <almondcart/core/status.hpp>

#include <string>
#include <string_view>

namespace almondcart {

/// Returns the body of an `application/problem+json` response, on one line.
std::string problem_body(refusal const& refused, std::string_view request_key);

/// Returns the value of `Retry-After` in whole seconds, rounded up; empty if the refusal advises
/// no retry.
std::string retry_after_seconds(refusal const& refused);

} // namespace almondcart
