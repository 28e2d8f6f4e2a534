#include "routing_fleet.hpp"

#include <algorithm>
#include <map>
#include <utility>

namespace almondcart {

namespace {

constexpr duration heartbeat_period{1000};
constexpr duration load_report_age{200}; ///< age of a load report when it arrives
constexpr duration cache_event_age{300}; ///< age of a cache event when it arrives
constexpr double cache_event_loss = 0.02;
constexpr duration error_delay{50}; ///< time until a failing upstream returns its error
constexpr duration router_tick{20};

} // namespace

char const* name_of(bench_policy policy)
{
    switch (policy)
    {
    case bench_policy::product:
        return "product";
    case bench_policy::random:
        return "random";
    case bench_policy::round_robin:
        return "round_robin";
    case bench_policy::least_reported_load:
        return "least_reported_load";
    }
    return "";
}

routing_fleet::routing_fleet(fleet_settings settings, std::uint64_t seed)
    : settings_(settings)
    , random_(seed)
    , upstreams_(bench_upstreams)
    , routers_(bench_routers)
{
    for (int i = 0; i < bench_upstreams; ++i)
        create_upstream(i);
    for (int i = 0; i < bench_routers; ++i)
        create_router(i);
}

void routing_fleet::create_upstream(int number)
{
    auto& upstream = upstreams_[static_cast<std::size_t>(number)];
    upstream.name = "m" + std::to_string(number);
    upstream.engine = std::make_unique<engine_model>(
        time_,
        bench_slots,
        [this, &upstream](int prefix_group, bool is_stored)
        {
            cache_event event;
            event.sequence = ++upstream.cache_events;
            event.kind = is_stored ? cache_event_kind::stored : cache_event_kind::evicted;
            bench_request prefix;
            prefix.prefix_group = prefix_group;
            event.prefix = routers_[0].selector->affinity_key(prefix.prompt());
            std::uniform_real_distribution<double> chance(0, 1);
            for (auto& router : routers_)
            {
                if (chance(random_) < cache_event_loss)
                    continue;
                time_.after(
                    cache_event_age,
                    [&router, &upstream, event] { router.selector->apply(upstream.name, event); });
            }
        });
    auto const phase = heartbeat_period * number / bench_upstreams;
    time_.every(phase, heartbeat_period, [this, &upstream] { report_load(upstream); });
}

void routing_fleet::create_router(int number)
{
    auto& router = routers_[static_cast<std::size_t>(number)];
    router.selector = std::make_unique<upstream_selector>([](std::string const&) { return true; });
    std::map<std::string, upstream_traits> traits;
    for (auto const& upstream : upstreams_)
        traits[upstream.name] = {{}, "", bench_slots};
    router.selector->set_upstreams(traits);
    router.selector->set_routers(bench_routers);
    router.retries = std::make_unique<retry_budget>(time_.clock());
    router.reported_load.assign(bench_upstreams, 0);
    router.next_upstream = static_cast<std::size_t>(number);

    admission_hooks hooks;
    hooks.dispatch = [this, number](std::uint64_t id) { dispatch(number, id); };
    hooks.refuse = [this](std::uint64_t id, refusal const&)
    {
        auto const& progress = progress_.at(id);
        if (progress.is_counted)
            ++statistics_.refused.at(static_cast<std::size_t>(progress.request->kind));
    };
    router.queue = std::make_unique<admission_queue>(time_.clock(), hooks);
    router.queue->set_limit(router.selector->concurrency_limit());
    time_.every(
        router_tick,
        router_tick,
        [&router]
        {
            router.queue->set_limit(router.selector->concurrency_limit());
            router.queue->tick();
        });
}

void routing_fleet::report_load(upstream_node& upstream)
{
    auto const index = static_cast<std::size_t>(&upstream - upstreams_.data());
    for (std::size_t i = 0; i < routers_.size(); ++i)
    {
        load_report report;
        report.running = upstream.engine->running();
        report.queued = upstream.engine->queued();
        report.received = upstream.seen.at(i);
        time_.after(
            load_report_age,
            [this, i, index, report]
            {
                auto& router = routers_[i];
                router.selector->apply(upstreams_[index].name, report);
                router.reported_load[index] = report.running + report.queued;
            });
    }
}

fleet_statistics routing_fleet::run(std::vector<bench_request> const& trace)
{
    for (auto const& request : trace)
        time_.at(request.arrival, [this, &request] { arrive(request); });
    time_.run_until(instant{} + settings_.length + settings_.drain);
    for (auto const& [id, progress] : progress_)
    {
        if (progress.is_counted && !progress.has_first_token)
            ++statistics_.missed.at(static_cast<std::size_t>(progress.request->kind));
    }
    // Refused requests have no first token either, but do not count as missed deadlines.
    for (std::size_t i = 0; i < statistics_.missed.size(); ++i)
        statistics_.missed.at(i) -= statistics_.refused.at(i);
    return statistics_;
}

void routing_fleet::arrive(bench_request const& request)
{
    auto& router = routers_[static_cast<std::size_t>(request.router)];
    auto& progress = progress_[request.id];
    progress.request = &request;
    progress.is_counted = request.arrival >= instant{} + settings_.warm_up;
    router.retries->count_request();
    auto const kind = static_cast<std::size_t>(request.kind);
    if (progress.is_counted)
    {
        ++statistics_.requests;
        ++statistics_.arrived.at(kind);
    }
    if (settings_.policy != bench_policy::product)
    {
        dispatch(request.router, request.id);
        return;
    }
    auto const& definition = bench_kinds[request.kind];
    admission_entry entry;
    entry.ticket = request.id;
    entry.account = request.account;
    entry.kind = definition.name;
    entry.priority = definition.priority;
    entry.deadline = time_.now() + definition.deadline;
    if (router.queue->try_enqueue(entry) && progress.is_counted)
        ++statistics_.refused.at(kind);
}

std::size_t routing_fleet::choose_upstream(router_node& router, request_progress const& progress)
{
    switch (settings_.policy)
    {
    case bench_policy::product:
    {
        auto const prompt = progress.request->prompt();
        selection_request request;
        request.prompt = prompt;
        request.avoid = progress.attempted;
        auto const chosen = router.selector->select(request);
        auto const it = std::find_if(
            upstreams_.begin(),
            upstreams_.end(),
            [&](auto const& node) { return node.name == chosen->upstream; });
        return static_cast<std::size_t>(it - upstreams_.begin());
    }
    case bench_policy::random:
        return std::uniform_int_distribution<std::size_t>(0, upstreams_.size() - 1)(random_);
    case bench_policy::round_robin:
        return router.next_upstream++ % upstreams_.size();
    case bench_policy::least_reported_load:
    {
        auto const& load = router.reported_load;
        auto const least = *std::min_element(load.begin(), load.end());
        // Ties are broken round-robin, because a fixed order would send all work to the first
        // upstream.
        while (load[router.next_upstream % load.size()] != least)
            ++router.next_upstream;
        return router.next_upstream++ % load.size();
    }
    }
    return 0;
}

void routing_fleet::dispatch(int router, std::uint64_t id)
{
    auto& node = routers_[static_cast<std::size_t>(router)];
    auto& progress = progress_.at(id);
    auto const index = choose_upstream(node, progress);
    auto& upstream = upstreams_[index];
    auto const epoch = node.selector->dispatched(upstream.name);
    ++upstream.seen.at(static_cast<std::size_t>(router));
    progress.attempted.push_back(upstream.name);
    if (progress.is_counted)
        ++statistics_.attempts;
    if (is_failing(index))
    {
        time_.after(
            error_delay,
            [this, router, id, &node, &upstream, epoch]
            {
                node.selector->finished(upstream.name, epoch);
                handle_failed_attempt(router, id);
            });
        return;
    }
    engine_job job;
    job.request = progress.request;
    job.first_token = [this, router, &progress](bool has_cache_hit)
    { first_token(router, progress, has_cache_hit); };
    job.ended = [&node, &upstream, epoch, id]
    {
        node.selector->finished(upstream.name, epoch);
        node.queue->finished(id);
    };
    upstream.engine->submit(std::move(job));
}

void routing_fleet::handle_failed_attempt(int router, std::uint64_t id)
{
    auto& node = routers_[static_cast<std::size_t>(router)];
    auto const& progress = progress_.at(id);
    if (try_retry(node, progress))
    {
        dispatch(router, id);
        return;
    }
    if (progress.is_counted)
        ++statistics_.failed;
    node.queue->finished(id, false);
}

bool routing_fleet::try_retry(router_node& router, request_progress const& progress)
{
    if (static_cast<int>(progress.attempted.size()) >= settings_.attempt_limit)
        return false;
    return !settings_.has_retry_budget || router.retries->try_retry({true, false});
}

void routing_fleet::first_token(int router, request_progress& progress, bool has_cache_hit)
{
    routers_[static_cast<std::size_t>(router)].queue->first_byte(progress.request->id);
    progress.has_first_token = true;
    if (!progress.is_counted)
        return;
    auto const kind = static_cast<std::size_t>(progress.request->kind);
    auto const time = time_.now() - progress.request->arrival;
    statistics_.first_token_ms.at(kind).push_back(static_cast<double>(time.count()));
    ++statistics_.first_tokens;
    if (has_cache_hit)
        ++statistics_.cache_hits;
    if (time > bench_kinds[kind].deadline)
        ++statistics_.missed.at(kind);
}

bool routing_fleet::is_failing(std::size_t upstream) const
{
    return upstream % 2 == 0 && time_.now() >= settings_.outage_start &&
           time_.now() < settings_.outage_end;
}

} // namespace almondcart
