#include <almondcart/http/http_client.hpp>

#include <utility>

#include "client_call.hpp"
#include "http_client_state.hpp"

namespace almondcart {

namespace {

/// h2o requires a timeout, which follows its wall clock. The client uses the loop's timers instead,
/// so this one is 12 days. Values beyond 31 bits expire immediately.
constexpr std::uint64_t unreachable_timeout_ms = 1ULL << 30U;

/// Time after which the pool of an unused address is removed. h2o visits every pool in each round
/// of events, so pools of removed upstreams must not accumulate.
constexpr duration idle_pool_timeout{10'000};

} // namespace

http_client::state::state(event_loop& event_loop)
    : loop(event_loop)
{
    h2o_timeout_init(loop.native(), &io_timeout, unreachable_timeout_ms);
    context.loop = loop.native();
    context.io_timeout = &io_timeout;
    idle_pool_timer = loop.every(idle_pool_timeout / 2, [this] { remove_idle_pools(); });
    loop.after_each_round(this, [this] { check_heads(); });
}

http_client::state::~state()
{
    loop.end_after_each_round(this);
    idle_pool_timer.cancel();
    while (!calls.empty())
    {
        auto const call = calls.begin()->second;
        call->cancel();
    }
    pools.clear();
    h2o_timeout_dispose(loop.native(), &io_timeout);
}

void http_client::state::remove(detail::client_call const* call)
{
    calls.erase(call);
}

std::shared_ptr<detail::connection_pool> http_client::state::pool_for(std::string const& address)
{
    auto& pool = pools[address];
    if (pool == nullptr)
        pool = std::make_shared<detail::connection_pool>(loop, *socket_address::parse(address));
    return pool;
}

void http_client::state::remove_idle_pools()
{
    auto const now = loop.now();
    std::erase_if(
        pools, [now](auto const& it) { return it.second->is_idle(now, idle_pool_timeout); });
}

void http_client::state::check_heads()
{
    // h2o keeps an incomplete head without a limit and tells nobody of it.
    for (auto* const call : awaiting_head)
        call->check_head_size();
}

http_client::http_client(event_loop& loop)
    : state_(std::make_unique<state>(loop))
{}

http_client::~http_client() = default;

http_call http_client::request(http_request request, http_callbacks callbacks)
{
    auto const call =
        std::make_shared<detail::client_call>(*state_, std::move(request), std::move(callbacks));
    state_->calls.emplace(call.get(), call);
    call->start();
    return http_call(call);
}

std::size_t http_client::active_count() const
{
    return state_->calls.size();
}

void http_call::cancel()
{
    if (auto const call = call_.lock())
        call->cancel();
}

} // namespace almondcart
