#pragma once

#include <almondcart/forwarding/draw_record.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace almondcart::forwarding {

/// Tokens of each account that routers hold or claim of the prepaid totals: the newest record of
/// each owner, up to a position of the log.
///
/// A snapshot may hold records at and behind the position from which reading goes on. They replace
/// older ones of their owners only; the position moves over records that are passed in order.
class prepaid_ledger
{
public:
    /// Newest record of an owner and its offset.
    struct entry
    {
        draw_record record;
        std::int64_t offset = -1;
    };

    /// Takes over the record at `offset`, unless a newer one of its owner is known already.
    void apply(std::int64_t offset, draw_record const& record);

    /// Skips a record without meaning for the ledger.
    void skip(std::int64_t offset);

    /// Tells that all records before `end` are known.
    void advance(std::int64_t end);

    /// Sum over all owners.
    std::int64_t claimed(std::string_view account) const;
    std::int64_t claimed_by(draw_owner const& owner) const;

    /// Demand of all owners of an account, in tokens per second, as they last stated it.
    std::int64_t demand(std::string_view account) const;
    std::int64_t demand_of(draw_owner const& owner) const;

    /// VMs whose newest records state any demand.
    std::size_t active_vm_count() const;

    std::map<draw_owner, entry> const& entries() const { return by_owner_; }

    /// Offset of the first record that is not known.
    std::int64_t end() const { return end_; }

    /// Whether the sums are those of one position of the log: no record behind `end` is known.
    bool is_consistent() const { return newest_ < end_; }

private:
    struct totals
    {
        std::int64_t claimed_tokens = 0;
        std::int64_t demand_per_s = 0;
    };

    std::int64_t end_ = 0;
    std::int64_t newest_ = -1;
    std::map<draw_owner, entry> by_owner_;
    std::map<std::string, totals, std::less<>> by_account_;
};

} // namespace almondcart::forwarding
