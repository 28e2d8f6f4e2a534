#include <almondcart/forwarding/prepaid_ledger.hpp>

#include <algorithm>
#include <set>

namespace almondcart::forwarding {

void prepaid_ledger::apply(std::int64_t offset, draw_record const& record)
{
    skip(offset);
    auto& owner = by_owner_[record.owner];
    if (offset <= owner.offset)
        return;
    auto& account = by_account_[record.owner.account];
    account.claimed_tokens += record.claimed_tokens - owner.record.claimed_tokens;
    account.demand_per_s += record.demand_per_s - owner.record.demand_per_s;
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

std::int64_t prepaid_ledger::claimed(std::string_view account) const
{
    auto const it = by_account_.find(account);
    return it == by_account_.end() ? 0 : it->second.claimed_tokens;
}

std::int64_t prepaid_ledger::claimed_by(draw_owner const& owner) const
{
    auto const it = by_owner_.find(owner);
    return it == by_owner_.end() ? 0 : it->second.record.claimed_tokens;
}

std::int64_t prepaid_ledger::demand(std::string_view account) const
{
    auto const it = by_account_.find(account);
    return it == by_account_.end() ? 0 : it->second.demand_per_s;
}

std::int64_t prepaid_ledger::demand_of(draw_owner const& owner) const
{
    auto const it = by_owner_.find(owner);
    return it == by_owner_.end() ? 0 : it->second.record.demand_per_s;
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
