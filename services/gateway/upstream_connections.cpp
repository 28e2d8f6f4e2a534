#include "upstream_connections.hpp"

#include <algorithm>
#include <utility>

namespace almondcart {

upstream_connections::upstream_connections(
    event_loop& loop,
    forwarding::drained_zones const& drained)
    : loop_(loop)
    , drained_(drained)
{}

std::string upstream_connections::key_of(forwarding::upstream const& target)
{
    return target.entry.id;
}

upstream_connections::connection_pointer upstream_connections::acquire(
    forwarding::upstream const& target,
    std::size_t limit,
    duration longest_idle)
{
    auto& pool = pools_[key_of(target)];
    while (!pool.idle.empty())
    {
        // The most recently used connection is the least likely to be closed by the server.
        auto const it = std::move(pool.idle.back());
        pool.idle.pop_back();
        auto const age = loop_.now() - it.since;
        if (it.connection->is_reusable() && age < std::min(it.limit, longest_idle))
        {
            it.connection->on_idle_end({});
            ++pool.active;
            return it.connection;
        }
    }
    if (pool.active >= limit || !make_room())
        return nullptr;
    auto const address = socket_address::parse(target.entry.address);
    if (!address.ok())
        return nullptr;
    ++pool.active;
    ++opened_count_;
    return std::make_shared<http1::outbound_connection>(loop_, *address);
}

bool upstream_connections::make_room()
{
    for (auto it = pools_.begin();
         it != pools_.end() && http1::byte_stream::open_count() >= stream_limit_;
         ++it)
        it->second.idle.clear();
    return http1::byte_stream::open_count() < stream_limit_;
}

void upstream_connections::release(
    forwarding::upstream const& target,
    connection_pointer connection)
{
    auto& pool = pools_[key_of(target)];
    pool.active -= pool.active > 0 ? 1 : 0;
    if (!connection->is_reusable() || !target.accepts_work() ||
        drained_.contains(target.entry.availability_zone))
        return;
    auto limit = idle_limit;
    // Half of the server's keep-alive time leaves a margin for a request in transit.
    if (auto const seconds = connection->keep_alive_seconds())
        limit = std::min<duration>(limit, std::chrono::seconds(*seconds) / 2);
    connection->on_idle_end([this, id = key_of(target), raw = connection.get()]
                            { loop_.post([this, id, raw] { drop_idle(id, raw); }); });
    pool.idle.push_back({std::move(connection), loop_.now(), limit});
}

void upstream_connections::discard(
    forwarding::upstream const& target,
    connection_pointer connection)
{
    auto& pool = pools_[key_of(target)];
    pool.active -= pool.active > 0 ? 1 : 0;
    connection.reset();
}

void upstream_connections::drop_idle(
    std::string const& upstream_id,
    http1::outbound_connection const* connection)
{
    auto const it = pools_.find(upstream_id);
    if (it == pools_.end())
        return;
    std::erase_if(
        it->second.idle,
        [&](idle_connection const& idle)
        { return idle.connection.get() == connection && !idle.connection->is_reusable(); });
}

void upstream_connections::close_idle(std::string const& upstream_id)
{
    auto const it = pools_.find(upstream_id);
    if (it == pools_.end())
        return;
    it->second.idle.clear();
    if (it->second.active == 0)
        pools_.erase(it);
}

void upstream_connections::expire()
{
    auto const now = loop_.now();
    for (auto& [id, pool] : pools_)
        std::erase_if(
            pool.idle, [&](idle_connection const& it) { return now - it.since >= it.limit; });
}

} // namespace almondcart
