#include "upstream_pool.hpp"

#include <utility>

namespace almondcart {

upstream_pool::upstream_pool(clock_function clock, membership const& members)
    : selector_([&members](std::string const& upstream) { return members.is_usable(upstream); })
    , queue_(std::move(clock), create_hooks())
{}

admission_hooks upstream_pool::create_hooks()
{
    admission_hooks hooks;
    hooks.dispatch = [this](std::uint64_t ticket)
    {
        auto const it = waiters_.find(ticket);
        if (it == waiters_.end())
            return;
        auto const dispatch = it->second.dispatch;
        dispatch();
    };
    hooks.refuse = [this](std::uint64_t ticket, refusal const& refused)
    {
        auto node = waiters_.extract(ticket);
        if (!node.empty())
            node.mapped().refuse(refused);
    };
    return hooks;
}

void upstream_pool::configure(pool_definition const& definition)
{
    std::map<std::string, upstream_traits> upstreams;
    for (auto const& it : definition.upstreams)
        upstreams[it.name] = {it.models, it.role, it.slots};
    selector_.set_upstreams(upstreams);
}

std::uint64_t upstream_pool::enqueue(admission_entry entry, waiter hooks)
{
    entry.ticket = next_ticket_++;
    waiters_[entry.ticket] = std::move(hooks);
    if (auto const refused = queue_.try_enqueue(entry))
    {
        auto node = waiters_.extract(entry.ticket);
        if (!node.empty())
            node.mapped().refuse(*refused);
    }
    return entry.ticket;
}

void upstream_pool::finished(std::uint64_t ticket, bool is_measured)
{
    waiters_.erase(ticket);
    queue_.finished(ticket, is_measured);
}

void upstream_pool::cancel(std::uint64_t ticket)
{
    waiters_.erase(ticket);
    queue_.cancel(ticket);
}

void upstream_pool::tick(int live_routers)
{
    selector_.set_routers(live_routers);
    queue_.set_limit(selector_.concurrency_limit());
    queue_.tick();
}

upstream_pools::upstream_pools(clock_function clock, membership const& members)
    : clock_(std::move(clock))
    , members_(members)
{}

void upstream_pools::configure(service_document const& document)
{
    for (auto const& definition : document.pools())
    {
        auto& pool = pools_[document.service() + "/" + definition.name];
        if (!pool)
            pool = std::make_unique<upstream_pool>(clock_, members_);
        pool->configure(definition);
        for (auto const& upstream : definition.upstreams)
            by_upstream_[upstream.name] = pool.get();
    }
}

upstream_pool* upstream_pools::find(std::string const& service, std::string const& pool)
{
    auto const it = pools_.find(service + "/" + pool);
    return it == pools_.end() ? nullptr : it->second.get();
}

upstream_pool* upstream_pools::find_by_upstream(std::string const& upstream)
{
    auto const it = by_upstream_.find(upstream);
    return it == by_upstream_.end() ? nullptr : it->second;
}

void upstream_pools::tick(int live_routers)
{
    for (auto const& [name, pool] : pools_)
        pool->tick(live_routers);
}

} // namespace almondcart
