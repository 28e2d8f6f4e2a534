#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/ledger/records.hpp>

#include <cstddef>
#include <map>
#include <vector>

namespace almondcart {

/// Usage items that no router has acknowledged. A router acknowledges an item after it has applied
/// it from the log.
class usage_outbox
{
public:
    /// An item is offered to a router when it has not been acknowledged for `offer_after`, and
    /// again after each further `offer_after`.
    usage_outbox(clock_function now, duration offer_after);

    /// Replaces an existing item of the same request, because a request is billed once.
    void add(usage_item item);

    /// Removes the item. Returns whether the request was unacknowledged.
    bool acknowledge(request_id const& request);

    bool contains(request_id const& request) const { return items_.contains(request); }
    bool is_empty() const { return items_.empty(); }
    std::size_t size() const { return items_.size(); }

    /// Items with a part that is charged to the grant.
    std::vector<usage_item> under_grant(grant_id const& grant) const;

    /// Returns at most `limit` items that are due and schedules their next offer.
    std::vector<usage_item> take_due(std::size_t limit);

    /// Makes all items due now, for example when the agent is leaving.
    void make_all_due();

private:
    struct entry
    {
        usage_item item;
        instant offer_at;
    };

    clock_function now_;
    duration offer_after_;
    std::map<request_id, entry> items_;
};

} // namespace almondcart
