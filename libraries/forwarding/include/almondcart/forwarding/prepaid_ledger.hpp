#pragma once

#include <almondcart/forwarding/spending_report.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

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
    std::int64_t drawn_tokens = 0; ///< in total, less what was given back
    std::string writer;            ///< start of a process that wrote the record
    std::uint64_t sequence = 0;    ///< number of the append among those of `writer`
    std::int64_t demand_per_s = 0; ///< tokens that the owner's callers ask for
    spending_report spending;
    clock_reading written;

    /// Key of the record in its topic.
    std::string key() const;
    std::string value() const;

    /// Returns `malformed_request` for a record of another form.
    static absl::StatusOr<draw_record> parse(std::string_view key, std::string_view value);
};

/// Tokens of each account that routers have drawn from the prepaid totals. It holds the newest
/// record of each owner, up to a position of the log. Records are appended only where the writer
/// knows the whole log, so a sum over the owners never passes the total that the writer knew.
///
/// A snapshot may hold records at and behind the position from which reading goes on. They replace
/// older ones of their owners only; the position moves over records that are passed in order.
class prepaid_ledger
{
public:
    /// Takes over the record at `offset`, unless a newer one of its owner is known already.
    void apply(std::int64_t offset, draw_record const& record);

    /// Skips a record without meaning for the ledger.
    void skip(std::int64_t offset);

    /// Tells that all records before `end` are known.
    void advance(std::int64_t end);

    std::int64_t drawn(std::string_view account) const;
    std::int64_t drawn_by(draw_owner const& owner) const;

    /// Newest record of an owner and its offset.
    struct entry
    {
        draw_record record;
        std::int64_t offset = -1;
    };

    std::map<draw_owner, entry> const& entries() const { return by_owner_; }

    /// Demand of all owners of an account, in tokens per second, as they last stated it.
    std::int64_t demand(std::string_view account) const;
    std::int64_t demand_of(draw_owner const& owner) const;

    /// VMs whose newest records state any demand.
    std::size_t active_vm_count() const;

    /// Offset of the first record that the ledger does not know.
    std::int64_t end() const { return end_; }

    /// Highest append number of `writer` that is in the ledger, 0 if there is none.
    std::uint64_t last_sequence(std::string_view writer) const;

private:
    struct totals
    {
        std::int64_t drawn_tokens = 0;
        std::int64_t demand_per_s = 0;
    };

    std::int64_t end_ = 0;
    std::map<draw_owner, entry> by_owner_;
    std::map<std::string, totals, std::less<>> by_account_;
    std::map<std::string, std::uint64_t, std::less<>> sequences_;
};

} // namespace almondcart::forwarding
