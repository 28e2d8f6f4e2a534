#pragma once

#include <almondcart/forwarding/spending_report.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace almondcart::forwarding {

/// Identifies the owner of drawn tokens: one client account on one VM. Successive processes on the
/// same VM have the same owner.
struct draw_owner
{
    std::string account;
    std::string vm;

    // clang-tidy 14 mistakes the zero in rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(draw_owner const&) const = default;
};

/// State of one owner as written to the log. The newest record of an owner replaces older ones.
struct draw_record
{
    draw_owner owner;

    /// Upper bound on the tokens that the owner holds or has spent, including a pending claim.
    std::int64_t claimed_tokens = 0;

    std::int64_t demand_per_s = 0; ///< tokens per second that clients request from the owner
    spending_report spending;
    clock_reading written;

    /// "ip:port" where the owner's process serves token transfers, or empty if it serves none.
    std::string peer_address;

    /// Key of the record in its topic.
    std::string key() const;
    std::string value() const;

    /// Returns `malformed_request` if the record does not have the expected format.
    static absl::StatusOr<draw_record> parse(std::string_view key, std::string_view value);
};

} // namespace almondcart::forwarding
