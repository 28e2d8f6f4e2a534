#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/forwarding/prompt_info.hpp>

#include <absl/status/statusor.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace almondcart::forwarding {

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Decoded request of a client.
struct client_request
{
    std::string id; ///< unique for each request; a client retry has a new one
    std::string method;
    std::string target; ///< path and query
    std::string host;
    std::string key;                    ///< API key from the bearer token, or empty
    std::optional<duration> time_limit; ///< client timeout, counted from the arrival
    std::optional<prompt_info> prompt;  ///< set for model requests
    std::string resume_after;           ///< id of the last event the client received, or empty
    header_list forwarded;              ///< headers passed to the upstream unchanged

    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

/// Values that the gateway adds to a request for one upstream.
struct attempt_context
{
    std::string_view upstream_id;
    std::string_view account;      ///< empty if the request needs no API key
    duration time_left{0};         ///< until the request's deadline
    int priority = 0;              ///< 0 is the most important
    std::string_view resume_after; ///< id of the last event the client received, or empty
};

/// Decoded status and headers of an upstream's response.
struct upstream_response
{
    int status = 0;
    bool is_not_executed = false;  ///< the upstream states that it did not run the request
    bool is_misdirected = false;   ///< another upstream has taken over the address
    bool is_leaving = false;       ///< the upstream wants no more requests
    std::optional<duration> pause; ///< the upstream wants no requests for so long
    bool is_signed = false;        ///< carries the upstream's signature
    std::string request_id;        ///< id of the request that the response belongs to
    header_list forwarded;         ///< headers passed to the client unchanged

    bool is_success() const
    {
        constexpr int first = 200;
        constexpr int last = 299;
        return status >= first && status <= last;
    }
};

/// Translates between the headers of a wire protocol and the gateway's types.
struct exchange_codec
{
    /// Returns `malformed_request` if a header that forwarding requires is missing.
    std::function<absl::StatusOr<client_request>(
        std::string_view method,
        std::string_view target,
        header_list const& headers)>
        decode_request;

    /// Encodes the headers of a request to an upstream, without framing headers.
    std::function<header_list(client_request const&, attempt_context const&)> encode_attempt;
    std::function<upstream_response(int status, header_list const& headers)> decode_response;
};

} // namespace almondcart::forwarding
