#include <almondcart/forwarding/prepaid_ledger.hpp>

#include <algorithm>
#include <set>

namespace almondcart::forwarding {

namespace {

prepaid_ledger::totals totals_in(draw_record const& record)
{
    return {record.claimed_tokens, record.spending.spent_tokens, record.demand_per_s};
}

} // namespace

prepaid_ledger::totals
operator+(prepaid_ledger::totals const& left, prepaid_ledger::totals const& right)
{
    return {
        left.claimed_tokens + right.claimed_tokens,
        left.spent_tokens + right.spent_tokens,
        left.demand_per_s + right.demand_per_s};
}

prepaid_ledger::totals
operator-(prepaid_ledger::totals const& left, prepaid_ledger::totals const& right)
{
    return {
        left.claimed_tokens - right.claimed_tokens,
        left.spent_tokens - right.spent_tokens,
        left.demand_per_s - right.demand_per_s};
}

void prepaid_ledger::apply(std::int64_t offset, draw_record const& record)
{
    skip(offset);
    auto& owner = by_owner_[record.owner];
    if (offset <= owner.offset)
        return;
    auto& account = by_account_[record.owner.account];
    account = account + totals_in(record) - totals_in(owner.record);
    owner = {record, offset};
    newest_offset_ = std::max(newest_offset_, offset);
}

void prepaid_ledger::skip(std::int64_t offset)
{
    if (offset == end_)
        ++end_;
}

void prepaid_ledger::advance(std::int64_t end)
{
    end_ = std::max(end_, end);
}

prepaid_ledger::totals prepaid_ledger::totals_of(std::string_view account) const
{
    auto const it = by_account_.find(account);
    return it == by_account_.end() ? totals{} : it->second;
}

prepaid_ledger::totals prepaid_ledger::totals_by(draw_owner const& owner) const
{
    auto const it = by_owner_.find(owner);
    return it == by_owner_.end() ? totals{} : totals_in(it->second.record);
}

std::size_t prepaid_ledger::active_vm_count() const
{
    std::set<std::string_view> vms;
    for (auto const& [owner, entry] : by_owner_)
    {
        if (entry.record.demand_per_s > 0)
            vms.insert(owner.vm);
    }
    return vms.size();
}

} // namespace almondcart::forwarding
