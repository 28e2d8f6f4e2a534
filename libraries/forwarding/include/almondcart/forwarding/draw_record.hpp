#pragma once

#include <almondcart/forwarding/spending_report.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace almondcart::forwarding {

/// Owner of drawn tokens: one client account on one VM. The processes that run on a VM one after
/// the other share it.
struct draw_owner
{
    std::string account;
    std::string vm;

    // clang-tidy 14 takes the zero of rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(draw_owner const&) const = default;
};

/// Newest record of one owner on the log.
struct draw_record
{
    draw_owner owner;

    /// Most that the owner may hold or have spent: what it holds and what it claims.
    std::int64_t claimed_tokens = 0;

    std::int64_t demand_per_s = 0; ///< tokens that the owner's callers ask for
    spending_report spending;
    clock_reading written;

    /// "ip:port" where the owner's process gives tokens to other routers; empty: nowhere.
    std::string peer_address;

    /// Key of the record in its topic.
    std::string key() const;
    std::string value() const;

    /// Returns `malformed_request` for a record of another form.
    static absl::StatusOr<draw_record> parse(std::string_view key, std::string_view value);
};

} // namespace almondcart::forwarding
