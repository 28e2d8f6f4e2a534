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

/// Request of a caller, decoded.
struct client_request
{
    std::string id; ///< of this request; a caller that tries again uses a new one
    std::string method;
    std::string target; ///< path with query
    std::string host;
    std::string key;                    ///< bearer key, empty if there is none
    std::optional<duration> time_limit; ///< how long the caller waits, from arrival
    std::optional<prompt_info> prompt;  ///< of a model request
    std::string resume_after;           ///< id of the last event that the caller has, or empty
    header_list forwarded;              ///< headers that the upstream gets unchanged

    std::string_view path() const { return std::string_view(target).substr(0, target.find('?')); }
};

/// What the router adds when it sends a request to an upstream.
struct attempt_context
{
    std::string_view upstream_id;
    std::string_view account;      ///< empty if the request needs no key
    duration time_left{0};         ///< until the caller stops waiting
    int priority = 0;              ///< 0 is the most important
    std::string_view resume_after; ///< id of the last event that the caller has, or empty
};

/// Head of an upstream's answer, decoded.
struct upstream_response
{
    int status = 0;
    bool is_not_executed = false; ///< the upstream states that it did not run the request
    bool is_misdirected = false;  ///< another upstream has taken over the address
    bool is_signed = false;       ///< carries the upstream's signature of its answer
    std::string request_id;       ///< request to which the answer belongs
    header_list forwarded;        ///< headers that the caller gets unchanged

    bool is_success() const
    {
        constexpr int first = 200;
        constexpr int last = 299;
        return status >= first && status <= last;
    }
};

/// Translation between a wire protocol and the router's types.
struct exchange_codec
{
    /// Returns `malformed_request` for a request without what forwarding needs.
    std::function<absl::StatusOr<client_request>(
        std::string_view method,
        std::string_view target,
        header_list const& headers)>
        decode_request;

    /// Headers of the request to an upstream, without framing.
    std::function<header_list(client_request const&, attempt_context const&)> encode_attempt;
    std::function<upstream_response(int status, header_list const& headers)> decode_response;
};

} // namespace almondcart::forwarding
