#include <almondcart/core/status.hpp>

#include <absl/strings/cord.h>
#include <absl/strings/numbers.h>

#include <utility>

namespace almondcart {

namespace {

constexpr std::string_view code_payload_url = "almondcart/result-code";

absl::StatusCode canonical_code(int http_status)
{
    switch (http_status)
    {
    case 400:
    case 413:
    case 422:
        return absl::StatusCode::kInvalidArgument;
    case 401:
        return absl::StatusCode::kUnauthenticated;
    case 402:
        return absl::StatusCode::kResourceExhausted;
    case 404:
        return absl::StatusCode::kNotFound;
    case 409:
        return absl::StatusCode::kFailedPrecondition;
    case 503:
        return absl::StatusCode::kUnavailable;
    case 504:
        return absl::StatusCode::kDeadlineExceeded;
    default:
        return absl::StatusCode::kInternal;
    }
}

} // namespace

refusal make_refusal(result_code code, std::string_view detail, std::optional<duration> retry_after)
{
    return {code, std::string(detail), entry_of(code).ran, retry_after};
}

absl::Status make_status(result_code code, std::string_view detail)
{
    if (code == result_code::ok)
        return absl::OkStatus();
    absl::Status status(
        canonical_code(entry_of(code).http_status),
        absl::string_view(detail.data(), detail.size()));
    status.SetPayload(
        absl::string_view(code_payload_url.data(), code_payload_url.size()),
        absl::Cord(std::to_string(static_cast<int>(code))));
    return status;
}

result_code code_of(absl::Status const& status)
{
    if (status.ok())
        return result_code::ok;
    auto const payload =
        status.GetPayload(absl::string_view(code_payload_url.data(), code_payload_url.size()));
    int number = 0;
    if (!payload || !absl::SimpleAtoi(std::string(*payload), &number))
        return result_code::internal_error;
    return result_code_from_number(number).value_or(result_code::internal_error);
}

std::string message_of(absl::Status const& status)
{
    return std::string(status.message());
}

} // namespace almondcart
