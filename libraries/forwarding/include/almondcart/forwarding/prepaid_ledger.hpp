#pragma once

#include <almondcart/forwarding/draw_record.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace almondcart::forwarding {

/// Sums the tokens that gateways hold or claim of each prepaid total, from the newest record of
/// each owner up to a log position.
///
/// A snapshot may contain records at or after the position where reading continues. They only
/// replace older records of their owners; the position advances over records passed in log order.
class prepaid_ledger
{
public:
    /// Newest record of an owner, with its offset.
    struct entry
    {
        draw_record record;
        std::int64_t offset = -1;
    };

    /// Applies the record at `offset`, unless a newer one of its owner is known.
    void apply(std::int64_t offset, draw_record const& record);

    /// Skips a record that is not a draw record.
    void skip(std::int64_t offset);

    /// Marks all records before `end` as known.
    void advance(std::int64_t end);

    /// Sums over newest records.
    struct totals
    {
        std::int64_t claimed_tokens = 0;
        std::int64_t spent_tokens = 0;
        std::int64_t demand_per_s = 0;

        friend totals operator+(totals const& left, totals const& right);
        friend totals operator-(totals const& left, totals const& right);
    };

    /// Sums over all owners of an account.
    totals totals_of(std::string_view account) const;

    /// Newest record of one owner, or zeros if there is none.
    totals totals_by(draw_owner const& owner) const;

    /// Tokens claimed by all owners of an account.
    std::int64_t claimed(std::string_view account) const
    {
        return totals_of(account).claimed_tokens;
    }
    std::int64_t claimed_by(draw_owner const& owner) const
    {
        return totals_by(owner).claimed_tokens;
    }

    /// Number of VMs with a newest record that reports demand.
    std::size_t active_vm_count() const;

    std::map<draw_owner, entry> const& entries() const { return by_owner_; }

    /// Offset of the first unknown record.
    std::int64_t end() const { return end_; }

    /// Whether the sums reflect a single log position, because no record after `end` was applied.
    bool is_consistent() const { return newest_offset_ < end_; }

private:
    std::int64_t end_ = 0;
    std::int64_t newest_offset_ = -1;
    std::map<draw_owner, entry> by_owner_;
    std::map<std::string, totals, std::less<>> by_account_;
};

} // namespace almondcart::forwarding
