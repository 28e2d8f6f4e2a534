#include "router.hpp"

#include <almondcart/core/json.hpp>
#include <almondcart/gate/usage_json.hpp>

#include <spdlog/spdlog.h>

#include <utility>

namespace almondcart {

namespace {

constexpr std::size_t incarnation_size = 12;
constexpr duration tick_interval{20};
constexpr duration heartbeat_interval{1'000};
constexpr duration transfer_timeout{1'000};
constexpr duration close_grant_timeout{2'000};
constexpr duration notify_timeout{1'000};
/// Limit of budgets with their own metrics; the others appear only in `/status`, because each label
/// value costs memory here and in the metrics store.
constexpr std::size_t budget_label_limit = 200;

constexpr int http_ok = 200;
constexpr int http_unavailable = 503;

} // namespace

absl::StatusOr<std::unique_ptr<router>> router::create(router_settings settings)
{
    auto loop = std::make_unique<event_loop>();
    auto const limiter = std::make_shared<connection_limiter>(
        connection_limits::derive(settings.memory_mb, settings.max_descriptors),
        system_clock_source::create());
    auto request_server = http_server::create(
        *loop, {settings.listen, static_cast<std::size_t>(settings.body_limit_bytes), limiter});
    if (!request_server.ok())
        return request_server.status();
    auto control_server =
        http_server::create(*loop, {.address = settings.peer_listen, .limiter = limiter});
    if (!control_server.ok())
        return control_server.status();
    std::unique_ptr<router> process(new router(
        std::move(settings),
        std::move(loop),
        *std::move(request_server),
        *std::move(control_server)));
    process->metrics_.watch(limiter);
    return process;
}

router::router(
    router_settings settings,
    std::unique_ptr<event_loop> loop,
    std::unique_ptr<http_server> request_server,
    std::unique_ptr<http_server> control_server)
    : settings_(std::move(settings))
    , self_{settings_.name, create_random_hex(incarnation_size)}
    , loop_(std::move(loop))
    , request_server_(std::move(request_server))
    , control_server_(std::move(control_server))
    , journal_(self_, &system_clock_source::wall_time_ms)
    , client_(*loop_)
    , rpc_(*loop_, client_, journal_)
    , rpc_server_(*control_server_, journal_)
    , log_(settings_, self_, client_, journal_, state_, [this](std::string const& stream) {
        return members_.is_primary_for("checkpoint/" + stream);
    })
    , members_(
          self_,
          system_clock_source::create(),
          create_member_hooks(),
          {.peer_timeout = settings_.peer_timeout})
    , pools_(system_clock_source::create(), members_)
    , holder_(
          {.self = self_, .flush_interval = settings_.flush_interval}, create_holder_hooks())
    , broker_({}, create_broker_hooks(), holder_)
    , recovery_({.self = self_}, create_recovery_hooks())
    , retries_(system_clock_source::create())
    , suspects_(system_clock_source::create(), create_suspect_hooks())
    , context_{
          self_,
          *loop_,
          client_,
          rpc_,
          journal_,
          state_,
          holder_,
          broker_,
          members_,
          pools_,
          retries_,
          suspects_,
          directory_,
          [this](record_body body) { return log_.submit(std::move(body)); }}
    , registrar_(
          state_,
          members_,
          system_clock_source::create(),
          [this](int shard, record_body body) {
              return log_.submit_to(budget_stream(shard), std::move(body));
          })
    , limits_(state_, members_, system_clock_source::create(), context_.submit)
    , acknowledger_(state_, members_, rpc_)
    , peers_(
          self_,
          control_server_->address(),
          settings_.peers,
          state_,
          members_,
          rpc_,
          create_peer_hooks())
    , publisher_(self_, state_, *loop_, context_.submit)
    , front_end_(
          context_,
          *request_server_,
          [this] { return log_.has_caught_up(); })
    , status_(context_, agents_, recovery_, create_status_sources())
    , control_service_(
          context_,
          {agents_, registrar_, peers_, publisher_, acknowledger_, [this] { begin_stop(); }},
          rpc_server_)
    , vm_list_(client_, settings_.vm_list_address, members_)
    , started_(loop_->now())
{
    state_.set_hooks(create_state_hooks());
    serve_health(*request_server_);
    serve_health(*control_server_);
    serve_reports(*control_server_);
    metrics_.serve(*request_server_);
    metrics_.serve(*control_server_);
    loop_->every(tick_interval, [this] { tick(); });
    loop_->every(
        heartbeat_interval,
        [this]
        {
            peers_.send_heartbeats();
            limits_.tick();
            vm_list_.poll();
            update_metrics();
        });
    loop_->on_stop_signal([this] { begin_stop(); });
}

void router::run()
{
    spdlog::info(
        "[router] {} listens on {} for clients and on {} for other processes.",
        to_text(self_),
        request_server_->address(),
        control_server_->address());
    peers_.send_heartbeats();
    log_.start();
    loop_->run();
}

fleet_state::hooks router::create_state_hooks()
{
    fleet_state::hooks hooks;
    hooks.configuration_changed = [this](configuration_state const& it)
    { configuration_changed(it); };
    hooks.record_applied = [this](stored_record const& record, budget_shard_state const& state)
    { record_applied(record, state); };
    hooks.shard_replaced = [this](budget_shard_state const& state)
    { holder_.state_restored(state); };
    return hooks;
}

budget_holder::hooks router::create_holder_hooks()
{
    budget_holder::hooks hooks;
    hooks.now = system_clock_source::create();
    hooks.submit = [this](record_body body) { return log_.submit(std::move(body)); };
    hooks.shard_state = [this](int n) { return &state_.shard(n); };
    hooks.log_read_at = [this] { return log_.last_contact(); };
    hooks.live_peers = [this] { return members_.live_peers(); };
    hooks.usage_billed = [this](request_id const& id) { usage_billed(id); };
    hooks.record_event = [this](event entry) { journal_.record(std::move(entry)); };
    return hooks;
}

transfer_broker::hooks router::create_broker_hooks()
{
    transfer_broker::hooks hooks;
    hooks.now = system_clock_source::create();
    hooks.live_peers = [this] { return members_.live_peers(); };
    hooks.request_transfer = [this](
                                 process_id const& peer,
                                 transfer_id const& transfer,
                                 budget_id const& budget,
                                 token_count tokens,
                                 transfer_broker::transfer_callback done)
    { request_transfer(peer, transfer, budget, tokens, std::move(done)); };
    return hooks;
}

grant_recovery::hooks router::create_recovery_hooks()
{
    grant_recovery::hooks hooks;
    hooks.now = system_clock_source::create();
    hooks.submit = [this](record_body body) { return log_.submit(std::move(body)); };
    hooks.shard_state = [this](int n) { return &state_.shard(n); };
    hooks.live_peers = [this] { return members_.live_peers(); };
    hooks.is_dead = [this](process_id const& holder) { return is_dead(holder); };
    hooks.stranded_grants = [this] { return holder_.stranded_grants(); };
    hooks.close_grant =
        [this](process_id const& agent, grant_id const& grant, grant_recovery::report_callback done)
    { close_grant(agent, grant, std::move(done)); };
    hooks.record_event = [this](event entry) { journal_.record(std::move(entry)); };
    return hooks;
}

membership_hooks router::create_member_hooks()
{
    membership_hooks hooks;
    hooks.upstream_changed = [this](std::string const& upstream, upstream_state state)
    {
        spdlog::info("[routing] Upstream {} is now {}.", upstream, name_of(state));
        event entry;
        entry.part = "routing";
        entry.name = "upstream_" + std::string(name_of(state));
        entry.upstream = upstream;
        journal_.record(std::move(entry));
    };
    hooks.peer_suspected = [this](process_id const& peer)
    {
        spdlog::warn("[routing] Router {} does not respond.", to_text(peer));
        event entry;
        entry.part = "routing";
        entry.name = "peer_suspected";
        entry.detail = to_text(peer);
        journal_.record(std::move(entry));
    };
    return hooks;
}

crash_suspects_hooks router::create_suspect_hooks()
{
    crash_suspects_hooks hooks;
    hooks.identified =
        [this](std::string const& fingerprint, std::vector<crash_record> const& records)
    { fingerprint_identified(fingerprint, records); };
    hooks.cleared = [this](std::string const& fingerprint, crash_set const& crashes)
    { fingerprint_cleared(fingerprint, crashes); };
    return hooks;
}

peer_links::hooks router::create_peer_hooks()
{
    peer_links::hooks hooks;
    hooks.is_leaving = [this] { return is_stopping_; };
    hooks.needs_snapshots = [this] { return log_.needs_snapshots(); };
    hooks.offer_snapshot =
        [this](std::string const& stream, std::int64_t offset, Json::Value const& state)
    { log_.offer_snapshot(stream, offset, state); };
    return hooks;
}

status_report::sources router::create_status_sources()
{
    status_report::sources sources;
    sources.availability_zone = settings_.availability_zone;
    sources.is_ready = [this] { return log_.has_caught_up() && !is_stopping_; };
    sources.is_log_available = [this] { return log_.is_available(); };
    sources.in_flight = [this] { return front_end_.session_count(); };
    return sources;
}

void router::configuration_changed(configuration_state const& state)
{
    for (auto const& [service, published] : state.documents())
        pools_.configure(*published.document);
    for (auto const& [fingerprint, crashes] : state.crashes())
    {
        if (state.is_blocked(fingerprint))
            suspects_.block(fingerprint);
    }
    limits_.tick();
    event entry;
    entry.part = "config";
    entry.name = "configuration_applied";
    entry.detail = "offset " + std::to_string(state.offset());
    journal_.record(std::move(entry));
}

void router::record_applied(stored_record const& record, budget_shard_state const& state)
{
    holder_.record_applied(record, state);
    if (auto const* usage = std::get_if<usage_record>(&record.record.body))
        acknowledger_.mark_billed(*usage);
}

void router::usage_billed(request_id const& id)
{
    if (auto const* known = directory_.find(id))
        acknowledger_.track(id, known->upstream);
}

void router::request_transfer(
    process_id const& peer,
    transfer_id const& transfer,
    budget_id const& budget,
    token_count tokens,
    transfer_broker::transfer_callback done)
{
    auto const* address = members_.find_peer_address(peer);
    if (address == nullptr)
        return;
    Json::Value params(Json::objectValue);
    params["transfer"] = to_text(transfer);
    params["budget"] = to_text(budget);
    params["tokens"] = Json::Int64(tokens);
    rpc_.call(
        *address,
        "transfer_tokens",
        params,
        transfer_timeout,
        [done = std::move(done)](absl::StatusOr<Json::Value> const& reply)
        {
            if (!reply.ok())
            {
                done(reply.status());
                return;
            }
            json_reader reader(*reply, "transfer_tokens", result_code::malformed_request);
            auto parts = read_grant_parts(reader, "parts");
            if (auto status = reader.finish(); !status.ok())
                done(status);
            else
                done(std::move(parts));
        });
}

void router::close_grant(
    process_id const& agent,
    grant_id const& grant,
    grant_recovery::report_callback done)
{
    auto const* heartbeat = agents_.find(agent);
    if (heartbeat == nullptr)
    {
        done(make_status(result_code::no_upstream, "the agent is not known"));
        return;
    }
    Json::Value params(Json::objectValue);
    params["grant"] = to_text(grant);
    rpc_.call(
        heartbeat->address,
        "close_grant",
        params,
        close_grant_timeout,
        [done = std::move(done)](absl::StatusOr<Json::Value> const& reply)
        {
            if (!reply.ok())
            {
                done(reply.status());
                return;
            }
            json_reader reader(*reply, "close_grant", result_code::malformed_request);
            auto const id = parse_process_id(reader.string("agent"));
            if (!id)
                reader.fail("agent", "a process id");
            grant_report report;
            report.finished = read_usage_items(reader, "finished");
            report.running = static_cast<int>(reader.integer("running", 0, 1'000'000));
            static_cast<void>(reader.value_or_null("config_offset"));
            if (auto status = reader.finish(); !status.ok())
            {
                done(status);
                return;
            }
            report.agent = *id;
            done(std::move(report));
        });
}

bool router::is_dead(process_id const& holder) const
{
    // A router that has just started has not received heartbeats of its peers yet.
    bool const has_listened = loop_->now() - started_ >= settings_.peer_timeout;
    if (holder == self_ || !has_listened || members_.is_live_peer(holder))
        return false;
    // A router that has lost contact only with its peers still spends its grants, and closing them
    // would refuse its clients needlessly.
    return !agents_.is_router_reachable(
        holder, [this](std::string const& upstream) { return members_.is_reachable(upstream); });
}

void router::fingerprint_identified(
    std::string const& fingerprint,
    std::vector<crash_record> const& records)
{
    spdlog::warn("[routing] Blocked fingerprint {}: its requests crash upstreams.", fingerprint);
    Json::Value params(Json::objectValue);
    params["fingerprint"] = fingerprint;
    peers_.notify_all("block_fingerprint", params);
    if (state_.configuration().is_blocked(fingerprint))
        return;
    for (auto const& it : records)
    {
        auto const request = parse_request_id(it.request);
        if (request)
            log_.submit(crash_report_record{it.fingerprint, it.upstream, it.agent, *request});
    }
}

void router::fingerprint_cleared(std::string const& fingerprint, crash_set const& crashes)
{
    Json::Value params(Json::objectValue);
    params["fingerprint"] = fingerprint;
    params["crashes"] = crash_set_to_json(crashes);
    peers_.notify_all("clear_fingerprint", params);
    // Routers may disagree on the home agent of the prefix, so all agents are notified.
    for (auto const& [upstream, heartbeat] : agents_.heartbeats())
        rpc_.call(
            heartbeat.address, "clear_fingerprint", params, notify_timeout, [](auto const&) {});
}

void router::serve_health(http_server& server)
{
    server.route(
        "GET",
        "/healthz",
        [](std::shared_ptr<http_exchange> const& it)
        { it->respond_text(http_ok, "text/plain", "ok\n"); });
    server.route(
        "GET",
        "/readyz",
        [this](std::shared_ptr<http_exchange> const& it)
        {
            bool const is_ready = log_.has_caught_up() && !is_stopping_;
            it->respond_text(
                is_ready ? http_ok : http_unavailable,
                "text/plain",
                is_ready ? "ready\n" : "not ready\n");
        });
}

// The reports show budgets and request ids of all accounts, so they are not served to clients.
void router::serve_reports(http_server& server)
{
    auto const answer = [](http_exchange& exchange, Json::Value const& value)
    { exchange.respond_text(http_ok, "application/json", to_compact_json(value)); };
    server.route(
        "GET",
        "/status",
        [this, answer](std::shared_ptr<http_exchange> const& it)
        { answer(*it, status_.to_json()); });
    server.route(
        "GET",
        "/timeline",
        [this, answer](std::shared_ptr<http_exchange> const& it)
        { answer(*it, journal_.to_json()); });
}

void router::update_metrics()
{
    auto const set = [this](char const* name, char const* help, double value)
    { metrics_.gauge(name, help).Set(value); };
    set("almondcart_requests_in_flight",
        "Requests in progress.",
        static_cast<double>(front_end_.session_count()));
    set("almondcart_config_offset",
        "Offset of the configuration in force.",
        static_cast<double>(state_.configuration().offset()));
    set("almondcart_log_available", "1 while the log responds.", log_.is_available() ? 1 : 0);
    set("almondcart_grants_in_recovery",
        "Closed grants that wait for agents.",
        static_cast<double>(recovery_.pending_recoveries().size()));
    set("almondcart_retries_available", "Retries that could be taken now.", retries_.available());
    token_count stranded = 0;
    for (auto const& it : recovery_.pending_recoveries())
        stranded += it.unbilled;
    set("almondcart_stranded_tokens",
        "Tokens of closed grants that no router can spend.",
        static_cast<double>(stranded));
    std::size_t labelled = 0;
    for (int n = 0; n < budget_shard_count; ++n)
    {
        for (auto const& [id, entry] : state_.shard(n).budgets())
        {
            if (labelled++ < budget_label_limit)
                update_budget_metrics(entry);
        }
    }
    set("almondcart_budgets", "Budgets known to this router.", static_cast<double>(labelled));
}

void router::update_budget_metrics(budget_entry const& entry)
{
    prometheus::Labels const labels = {{"budget", to_text(entry.id)}};
    auto const set = [this, &labels](char const* name, char const* help, token_count n)
    { metrics_.gauge(name, help, labels).Set(static_cast<double>(n)); };
    set("almondcart_budget_total_tokens", "Prepaid tokens.", entry.total);
    set("almondcart_budget_billed_tokens", "Billed tokens.", entry.billed);
    set("almondcart_budget_charged_tokens", "Granted or billed tokens.", entry.charged);
    auto const* account = holder_.find_account(entry.id);
    if (account == nullptr)
        return;
    token_count reserved = 0;
    for (auto const& [grant, part] : account->grants())
        reserved += part.reserved;
    set("almondcart_budget_free_tokens", "Granted to this router and free.", account->free());
    set("almondcart_budget_reserved_tokens", "Reserved by attempts of this router.", reserved);
}

void router::tick()
{
    log_.tick();
    members_.tick();
    pools_.tick(static_cast<int>(members_.live_peers().size()) + 1);
    holder_.tick();
    broker_.tick();
    recovery_.tick();
    suspects_.tick();
    acknowledger_.tick();
    if (is_stopping_)
        continue_stop();
}

void router::begin_stop()
{
    if (is_stopping_)
        return;
    is_stopping_ = true;
    stop_deadline_ = loop_->now() + settings_.shutdown_timeout;
    spdlog::info("[router] Shutting down with {} requests in flight.", front_end_.session_count());
    front_end_.begin_shutdown();
    peers_.send_heartbeats();
}

void router::continue_stop()
{
    bool const is_late = loop_->now() >= stop_deadline_;
    // A session ends when its response has been passed to the server, which may still be writing
    // it.
    bool const is_serving = front_end_.session_count() > 0 || request_server_->exchange_count() > 0;
    if (is_serving && !is_late)
        return;
    // Grants are returned only after no request needs them anymore.
    holder_.begin_shutdown();
    if (!(holder_.is_drained() && log_.is_flushed()) && !is_late)
        return;
    if (is_late)
        spdlog::warn("[router] Shutdown timed out before all requests finished and all grants were "
                     "returned.");
    loop_->stop();
}

} // namespace almondcart
