#pragma once

#include <almondcart/core/status.hpp>

#include <string>
#include <string_view>

namespace almondcart {

/// Body of an `application/problem+json` answer, on one line.
std::string problem_body(refusal const& refused, std::string_view request_key);

/// Value of `Retry-After` in whole seconds, rounded up; empty if a retry makes no sense.
std::string retry_after_seconds(refusal const& refused);

} // namespace almondcart
