#include "product_router.hpp"

#include <almondcart/core/hash.hpp>

#include <algorithm>

namespace almondcart::bench {

using namespace std::chrono_literals;

namespace {

constexpr duration message_latency = 1ms; ///< one way between routers and agents
constexpr duration tick_interval = 50ms;
constexpr duration recovery_interval = 250ms;
constexpr duration long_poll_timeout = 1000ms; ///< returns without records after this time

/// Flush interval of the log client. It is longer in large fleets, so that the log keeps up.
duration flush_interval(int routers)
{
    return routers > 30 ? 1000ms : 100ms;
}

} // namespace

product_router::product_router(int index, product_fleet& fleet)
    : index_(index)
    , id_(fleet.world.faults.process_of(index))
    , fleet_(fleet)
    , world_(fleet.world)
    , client_(std::make_shared<budget_log_client>(index, id_, world_.queue, world_.log, fleet.log))
    , positions_(budget_shard_count)
    , random_(hash64(to_text(id_)))
    , holder_(holder_settings(), holder_hooks())
    , broker_({}, broker_hooks(), holder_)
    , recovery_({.self = id_}, recovery_hooks())
{
    for (int shard = 0; shard < budget_shard_count; ++shard)
        shards_.emplace_back(shard);
}

budget_holder_settings product_router::holder_settings() const
{
    budget_holder_settings settings;
    settings.self = id_;
    settings.flush_interval = flush_interval(world_.scenario.routers);
    settings.log_read_timeout = long_poll_timeout + 500ms;
    return settings;
}

budget_holder::hooks product_router::holder_hooks()
{
    return {
        [this] { return world_.queue.now(); },
        [this](record_body body) { return client_->submit(std::move(body)); },
        [this](int shard) { return &shards_[std::size_t(shard)]; },
        [this] { return read_at_; },
        [this] { return world_.faults.live_peers(index_); },
        [this](request_id const& request) { acknowledge(request); },
        {}};
}

transfer_broker::hooks product_router::broker_hooks()
{
    return {
        [this] { return world_.queue.now(); },
        [this] { return world_.faults.live_peers(index_); },
        [this](
            auto const& peer, auto const& transfer, auto const& budget, auto tokens, auto callback)
        { request_transfer(peer, transfer, budget, tokens, std::move(callback)); }};
}

grant_recovery::hooks product_router::recovery_hooks()
{
    return {
        [this] { return world_.queue.now(); },
        [this](record_body body) { return client_->submit(std::move(body)); },
        [this](int shard) { return &shards_[std::size_t(shard)]; },
        [this] { return world_.faults.live_peers(index_); },
        [this](process_id const& process) { return world_.faults.is_dead(index_, process); },
        [this] { return holder_.stranded_grants(); },
        [this](auto const& agent, auto const& grant, auto callback)
        { close_grant(agent, grant, std::move(callback)); },
        {}};
}

void product_router::start()
{
    apply_new_records();
    schedule_every(tick_interval, [this] { tick(); });
    schedule_every(recovery_interval, [this] { recovery_.tick(); });
    schedule_every(flush_interval(world_.scenario.routers), [this] { client_->flush(); });
    schedule_every(long_poll_timeout, [this] { schedule_read(0ms); });
}

void product_router::schedule(duration delay, event_queue::action action)
{
    world_.queue.after(
        delay,
        [self = weak_from_this(), action = std::move(action)]
        {
            if (auto const it = self.lock())
                action();
        });
}

void product_router::schedule_every(duration interval, event_queue::action action)
{
    schedule(
        interval,
        [this, interval, action = std::move(action)]
        {
            action();
            schedule_every(interval, action);
        });
}

void product_router::tick()
{
    holder_.tick();
    broker_.tick();
}

void product_router::schedule_read(duration delay)
{
    if (is_read_scheduled_)
        return;
    is_read_scheduled_ = true;
    schedule(
        delay,
        [this]
        {
            is_read_scheduled_ = false;
            if (world_.faults.reaches_log(index_))
                apply_new_records();
        });
}

void product_router::apply_new_records()
{
    for (int shard = 0; shard < budget_shard_count; ++shard)
    {
        auto const& stream = fleet_.log.stream(shard);
        auto& position = positions_[std::size_t(shard)];
        auto& state = shards_[std::size_t(shard)];
        auto const is_start = position == 0;
        for (; position < stream.size(); ++position)
        {
            state.apply(stream[position]);
            if (!is_start)
                holder_.record_applied(stream[position], state);
        }
        if (is_start)
            holder_.state_restored(state);
    }
    read_at_ = world_.queue.now();
    tick();
}

void product_router::acknowledge(request_id const& request)
{
    for (auto const& agent : fleet_.agents)
    {
        if (world_.faults.reaches_agent(index_, agent->index()))
            agent->acknowledge(request);
    }
}

void product_router::report_usage(std::vector<usage_item> items)
{
    std::map<int, usage_record> records;
    for (auto& item : items)
    {
        auto const shard = shard_of(item.request.account);
        auto const* request = shards_[std::size_t(shard)].find_request(item.request);
        if (request != nullptr && request->is_billed)
            acknowledge(item.request);
        else if (!holder_.has_pending_usage(item.request) && reported_.insert(item.request).second)
            records[shard].items.push_back(std::move(item));
    }
    for (auto& [shard, record] : records)
        client_->submit(std::move(record));
}

std::vector<trace_request const*> product_router::waiting() const
{
    std::vector<trace_request const*> result;
    for (auto const& [request, attempt] : waiting_)
        result.push_back(request);
    return result;
}

void product_router::arrive(trace_request const& request)
{
    reserve(request, 1, world_.queue.now() + request.deadline);
    broker_.tick();
}

void product_router::reserve(trace_request const& request, int attempt, instant deadline)
{
    waiting_[&request] = attempt;
    holder_.reserve(
        request.id,
        attempt,
        world_.scenario.budgets[request.budget].id,
        request.worst_case,
        deadline,
        [this, &request, attempt, deadline](absl::StatusOr<reservation> const& result)
        {
            waiting_.erase(&request);
            if (result.ok())
                dispatch(request, attempt, deadline);
            else
                world_.oracle.refused(request);
        });
}

void product_router::dispatch(trace_request const& request, int attempt, instant deadline)
{
    std::vector<int> reachable;
    for (auto const& agent : fleet_.agents)
    {
        if (world_.faults.reaches_agent(index_, agent->index()))
            reachable.push_back(agent->index());
    }
    auto const work = holder_.dispatch(request.id, attempt);
    if (!work.ok())
    {
        reserve(request, attempt + 1, deadline);
        return;
    }
    world_.oracle.reserved(request);
    auto const agent = reachable[random_() % reachable.size()];
    world_.queue.after(
        message_latency,
        [this, self = shared_from_this(), &request, value = *work, deadline, agent]
        { run(request, value, deadline, agent); });
}

void product_router::run(
    trace_request const& request,
    reservation const& work,
    instant deadline,
    int agent)
{
    auto const closed = fleet_.agents[std::size_t(agent)]->try_run(
        work,
        request,
        [self = weak_from_this(), work, agent, actual = request.actual](usage_item const&)
        {
            auto const router = self.lock();
            if (router && router->world_.faults.reaches_agent(router->index_, agent))
                router->schedule(
                    message_latency,
                    [target = router.get(), work, actual]
                    { target->holder_.settle(work, actual); });
        });
    if (!closed)
        return;
    world_.oracle.released(request);
    schedule(
        message_latency,
        [this, &request, work, grant = *closed, deadline]
        { handle_agent_refusal(request, work, grant, deadline); });
}

void product_router::handle_agent_refusal(
    trace_request const& request,
    reservation const& work,
    grant_id const& grant,
    instant deadline)
{
    holder_.grant_refused(work.budget, grant);
    holder_.release(work);
    reserve(request, work.attempt + 1, deadline);
    broker_.tick();
}

void product_router::request_transfer(
    process_id const& peer,
    transfer_id const& transfer,
    budget_id const& budget,
    token_count tokens,
    transfer_broker::transfer_callback const& callback)
{
    auto const receiver = std::find_if(
        fleet_.routers.begin(),
        fleet_.routers.end(),
        [&](auto const& candidate) { return candidate && candidate->id() == peer; });
    if (receiver == fleet_.routers.end())
        return;
    auto const target = (*receiver)->index();
    if (!world_.faults.reaches_router(index_, target))
        return;
    (*receiver)->schedule(
        message_latency,
        [self = weak_from_this(), sender = receiver->get(), transfer, budget, tokens, callback]
        {
            auto response = sender->holder_.transfer_out(transfer, budget, tokens);
            auto const router = self.lock();
            if (router && sender->world_.faults.reaches_router(sender->index_, router->index_))
                router->schedule(
                    message_latency,
                    [callback, response = std::move(response)] { callback(response); });
        });
}

void product_router::close_grant(
    process_id const& agent,
    grant_id const& grant,
    grant_recovery::report_callback callback)
{
    for (auto const& candidate : fleet_.agents)
    {
        if (candidate->id() != agent || !world_.faults.reaches_agent(index_, candidate->index()))
            continue;
        schedule(
            message_latency,
            [this, grant, target = candidate.get(), callback = std::move(callback)]
            {
                auto report = target->close_grant(grant);
                if (world_.faults.reaches_agent(index_, target->index()))
                    schedule(
                        message_latency,
                        [callback, report = std::move(report)] { callback(report); });
            });
        return;
    }
}

} // namespace almondcart::bench
