#include <almondcart/gate/usage_outbox.hpp>

#include <algorithm>
#include <utility>

namespace almondcart {

usage_outbox::usage_outbox(clock_function now, duration offer_after)
    : now_(std::move(now))
    , offer_after_(offer_after)
{}

void usage_outbox::add(usage_item item)
{
    auto const request = item.request;
    items_.insert_or_assign(request, entry{std::move(item), now_() + offer_after_});
}

bool usage_outbox::acknowledge(request_id const& request)
{
    return items_.erase(request) > 0;
}

std::vector<usage_item> usage_outbox::under_grant(grant_id const& grant) const
{
    std::vector<usage_item> items;
    for (auto const& [request, it] : items_)
    {
        if (std::ranges::any_of(
                it.item.parts, [&](grant_part const& part) { return part.grant == grant; }))
            items.push_back(it.item);
    }
    return items;
}

std::vector<usage_item> usage_outbox::take_due(std::size_t limit)
{
    std::vector<usage_item> items;
    auto const now = now_();
    for (auto& [request, it] : items_)
    {
        if (items.size() == limit)
            break;
        if (it.offer_at > now)
            continue;
        items.push_back(it.item);
        it.offer_at = now + offer_after_;
    }
    return items;
}

void usage_outbox::make_all_due()
{
    for (auto& [request, it] : items_)
        it.offer_at = now_();
}

} // namespace almondcart
