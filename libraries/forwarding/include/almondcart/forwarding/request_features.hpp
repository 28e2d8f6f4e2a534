#pragma once

#include <almondcart/forwarding/exchange_codec.hpp>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondcart::forwarding {

/// Property that requests may share.
enum class feature_kind
{
    content,     ///< caller, method, target and body; equal for repeats of one request
    prompt_part, ///< part of the prompt that other requests may share
};

std::string_view name_of(feature_kind kind);

/// Identifies one property of a request within its service.
struct request_feature
{
    feature_kind kind = feature_kind::content;
    std::uint64_t id = 0; ///< hash of the content, or id of the prompt part

    // clang-tidy 14 mistakes the zero in rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(request_feature const&) const = default;

    /// For example "content:9c41d07be2a35f68".
    std::string text() const;

    /// Parses the form that `text` returns.
    static std::optional<request_feature> parse(std::string_view text);
};

/// Features of one request: each prompt part but the last, which belongs to the request itself or
/// to its session, in order, and then the content. Each is more specific than those before it and
/// stands in the list once.
using feature_list = std::vector<request_feature>;

/// Returns the features of a request. `caller` is a client account or an API key.
feature_list
features_of(client_request const& request, std::string_view caller, std::string_view body);

/// Returns the features without repeats. Of equal ones the last stays, because what stands behind
/// others is shared by fewer requests.
feature_list without_repeats(feature_list const& features);

/// Space-free list for log lines.
std::string text_of(feature_list const& features);

} // namespace almondcart::forwarding
