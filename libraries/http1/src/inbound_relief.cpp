#include <algorithm>
#include <map>
#include <utility>

#include "inbound_connection.hpp"

namespace almondcart::http1 {

namespace {

/// Part of the connection limit that is not served, so that its connections can be refused with an
/// answer.
constexpr std::size_t reserved_divisor = 8;

/// Connections closed at once to make room.
constexpr std::size_t close_batch = 32;

/// Part of the budget that is freed at once by refusing stalled requests.
constexpr std::size_t freed_divisor = 8;

} // namespace

bool inbound_server::state::is_crowded() const
{
    return connections.size() > connection_limit - connection_limit / reserved_divisor;
}

std::vector<inbound_server::state::connection_pointer>
inbound_server::state::stalled(instant now) const
{
    std::map<std::string, std::size_t> held_by_address;
    std::vector<connection_pointer> result;
    for (auto const& [key, it] : connections)
    {
        held_by_address[it->peer()] += it->held_bytes();
        if (it->is_stalled(now))
            result.push_back(it);
    }
    auto const rank = [&](connection_pointer const& it)
    { return std::pair(held_by_address[it->peer()], it->held_bytes()); };
    std::sort(
        result.begin(),
        result.end(),
        [&](auto const& a, auto const& b) { return rank(a) > rank(b); });
    return result;
}

void inbound_server::state::make_room_for_connections()
{
    if (!is_crowded())
        return;
    auto const now = loop.now();
    std::vector<connection_pointer> idle;
    for (auto const& [key, it] : connections)
    {
        if (it->is_long_idle(now))
            idle.push_back(it);
    }
    std::sort(
        idle.begin(),
        idle.end(),
        [](auto const& a, auto const& b) { return a->idle_since() < b->idle_since(); });
    idle.resize(std::min(idle.size(), close_batch));
    for (auto const& it : idle)
        it->close_for(client_limit::idle);
    if (!idle.empty())
        return;
    auto others = stalled(now);
    others.resize(std::min(others.size(), close_batch));
    for (auto const& it : others)
        it->close_for(client_limit::stalled);
}

void inbound_server::state::refuse_stalled(instant now)
{
    std::size_t freed = 0;
    for (auto const& it : stalled(now))
    {
        if (freed > buffers->limit_bytes() / freed_divisor)
            return;
        freed += it->held_bytes();
        it->refuse_for(client_limit::stalled);
    }
}

void inbound_server::state::relieve()
{
    if (paused.empty())
        return;
    std::vector<connection_pointer> waiting;
    bool is_short = false;
    for (auto* const it : paused)
    {
        waiting.push_back(it->shared_from_this());
        is_short = is_short || it->is_waiting_for_memory();
    }
    auto const now = loop.now();
    if (is_short)
        refuse_stalled(now);
    for (auto const& it : waiting)
        it->check_pause(now);
}

} // namespace almondcart::http1
