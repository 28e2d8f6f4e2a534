#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/ledger/records.hpp>

#include <cstddef>
#include <map>
#include <vector>

namespace almondcart {

/// Usage items that no router has acknowledged as folded from the log.
class usage_outbox
{
public:
    /// `offer_after`: time without acknowledgement after which an item is offered to a router, and
    /// after which it is offered again.
    usage_outbox(clock_function now, duration offer_after);

    /// Replaces an item of the same request: a request has one bill.
    void add(usage_item item);

    /// Whether the request was unacknowledged.
    bool acknowledge(request_id const& request);

    bool contains(request_id const& request) const { return items_.contains(request); }
    bool is_empty() const { return items_.empty(); }
    std::size_t size() const { return items_.size(); }

    /// Items with a part under the grant.
    std::vector<usage_item> under_grant(grant_id const& grant) const;

    /// At most `limit` items that are due to be offered; their next offer is `offer_after` later.
    std::vector<usage_item> take_due(std::size_t limit);

    /// Makes all items due, for example when the agent leaves.
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
