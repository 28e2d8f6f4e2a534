#include "agent.hpp"

#include <almondcart/core/clock.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "engine_client.hpp"
#include "service_client.hpp"
#include "status_pages.hpp"

namespace almondcart {

namespace {

constexpr std::size_t incarnation_size = 16;
constexpr std::size_t crash_id_size = 16;
constexpr duration tick_interval{100};

std::unique_ptr<upstream_client>
create_upstream_client(agent_settings const& settings, http_client& client)
{
    if (settings.kind == upstream_kind::service)
        return std::make_unique<service_client>(settings, client);
    return std::make_unique<engine_client>(settings, client);
}

} // namespace

absl::StatusOr<std::unique_ptr<agent>> agent::create(agent_settings settings)
{
    auto loop = std::make_unique<event_loop>();
    auto const limiter = std::make_shared<connection_limiter>(
        connection_limits::derive(settings.memory_mb, settings.max_descriptors),
        system_clock_source::create());
    auto server = http_server::create(*loop, {.address = settings.listen, .limiter = limiter});
    if (!server.ok())
        return server.status();
    std::unique_ptr<agent> process(new agent(std::move(settings), std::move(loop)));
    process->server_ = *std::move(server);
    process->metrics_.watch(limiter);
    process->bind_endpoints();
    process->start_timers();
    return process;
}

agent::agent(agent_settings settings, std::unique_ptr<event_loop> loop)
    : settings_(std::move(settings))
    , self_{settings_.name, create_random_hex(incarnation_size)}
    , journal_(self_, system_clock_source::wall_time_ms)
    , loop_(std::move(loop))
    , client_(*loop_)
    , rpc_client_(*loop_, client_, journal_)
    , fence_(settings_.does_upstream_check_fencing)
    , monitor_(
          {.now = system_clock_source::create(),
           .create_crash_id = [] { return create_random_hex(crash_id_size); },
           .crashed = [this](crash_notice const& it) { handle_crash(it); }})
    , upstream_(create_upstream_client(settings_, client_))
    , gate_(self_, create_limits(), create_gate_hooks(), monitor_)
    , placements_(system_clock_source::create())
    , orders_(settings_, client_, fence_)
    , probe_(settings_, client_, monitor_)
    , load_(settings_, client_)
    , routers_(
          settings_,
          rpc_client_,
          monitor_,
          {.create_heartbeat = [this] { return create_heartbeat(); },
           .apply_configuration = [this](Json::Value const& it) { apply_configuration(it); }})
    , gauges_(metrics_, gate_, monitor_)
{}

work_gate::limits agent::create_limits() const
{
    work_gate::limits limits;
    limits.slots = settings_.slots;
    limits.output_bytes = static_cast<std::size_t>(settings_.output_limit_bytes);
    limits.unacknowledged = static_cast<std::size_t>(settings_.unacknowledged_limit);
    limits.output_retention = settings_.output_retention;
    limits.idle_retention = settings_.idle_retention;
    limits.offer_after = settings_.usage_offer_after;
    return limits;
}

work_gate::hooks agent::create_gate_hooks()
{
    work_gate::hooks hooks;
    hooks.now = system_clock_source::create();
    hooks.start_call = [this](std::uint64_t call, dispatch const& work) { start_call(call, work); };
    hooks.cancel_call = [this](std::uint64_t call) { upstream_->cancel(call); };
    hooks.is_configured = [this](dispatch const& work)
    { return configuration_.has_service(work.request.account.service); };
    hooks.is_blocked = [this](std::string const& it) { return configuration_.is_blocked(it); };
    hooks.offer_usage = [this](std::vector<usage_item> const& items)
    { routers_.report_usage(self_, items); };
    if (settings_.kind == upstream_kind::engine)
        hooks.create_truncation_data = [](dispatch const&) { return create_length_chunk(); };
    hooks.record_event = [this](event entry)
    {
        entry.upstream = settings_.upstream;
        journal_.record(std::move(entry));
    };
    return hooks;
}

void agent::start_call(std::uint64_t call, dispatch const& work)
{
    upstream_events events;
    events.output = [this, call](std::string const& data, token_count tokens)
    { gate_.add_output(call, data, tokens); };
    events.finished = [this, call](upstream_response response)
    { gate_.finish(call, std::move(response)); };
    events.failed = [this, call](std::string_view detail, call_failure failure)
    { gate_.fail(call, detail, failure); };
    events.not_started = [this, call](std::string_view detail)
    { gate_.fail_before_start(call, detail); };
    upstream_->start(call, work, std::move(events));
}

void agent::handle_crash(crash_notice const& notice)
{
    spdlog::warn(
        "[gate] upstream {} crashed, {} requests ran", settings_.upstream, notice.requests.size());
    event entry;
    entry.part = "gate";
    entry.name = "upstream_crashed";
    entry.upstream = settings_.upstream;
    entry.detail = std::to_string(notice.requests.size()) + " requests ran";
    journal_.record(std::move(entry));
    // As in the routers, requests that ran beside a known suspect are not suspected.
    bool const has_suspect = std::ranges::any_of(
        notice.requests, [](crashed_request const& it) { return it.ran_as_suspect; });
    for (auto const& request : notice.requests)
    {
        if (request.ran_as_suspect || !has_suspect)
            placements_.add_crashes(request.fingerprint, {{notice.crash, settings_.upstream}});
    }
}

agent_heartbeat agent::create_heartbeat() const
{
    agent_heartbeat heartbeat;
    heartbeat.agent = self_;
    heartbeat.upstream = settings_.upstream;
    heartbeat.address = settings_.advertise;
    heartbeat.is_leaving = gate_.is_leaving();
    heartbeat.config_offset = configuration_.offset();
    heartbeat.queue = load_.queued();
    heartbeat.running = gate_.running();
    heartbeat.free_slots = gate_.free_slots();
    heartbeat.is_suspect_running = monitor_.is_suspect_running();
    return heartbeat;
}

void agent::apply_configuration(Json::Value const& result)
{
    auto const is_newer = configuration_.apply(result);
    if (!is_newer.ok())
    {
        spdlog::error(
            "[config] invalid configuration: {}", std::string(is_newer.status().message()));
        return;
    }
    if (!*is_newer)
        return;
    spdlog::info("[config] configuration at offset {}", configuration_.offset());
    if (auto const offset = configuration_.publish_offset(settings_.upstream))
        fence_.set_configuration_offset(*offset);
}

bool agent::is_ready() const
{
    return configuration_.offset() >= 0 && routers_.is_registered() && !gate_.is_leaving() &&
           !monitor_.is_down();
}

Json::Value agent::create_status() const
{
    auto const& counts = gate_.counts();
    Json::Value json;
    json["process"] = to_text(self_);
    json["role"] = "agent";
    json["upstream"] = settings_.upstream;
    json["availability_zone"] = settings_.availability_zone;
    json["ready"] = is_ready();
    json["leaving"] = gate_.is_leaving();
    json["upstream_down"] = monitor_.is_down();
    json["running"] = gate_.running();
    json["free_slots"] = gate_.free_slots();
    json["unacknowledged"] = Json::UInt64(gate_.unacknowledged());
    json["output_bytes"] = Json::UInt64(gate_.kept_output_bytes());
    json["started"] = Json::Int64(counts.started);
    json["refused"] = Json::Int64(counts.refused);
    json["billed_tokens"] = Json::Int64(counts.billed_tokens);
    json["crashes"] = Json::UInt64(monitor_.crash_count());
    json["config_offset"] = Json::Int64(configuration_.offset());
    json["versions"] = configuration_.versions();
    json["routers"] = routers_.to_json();
    return json;
}

void agent::bind_endpoints()
{
    rpc_server_ = std::make_unique<json_rpc_server>(*server_, journal_);
    methods_ = std::make_unique<rpc_methods>(
        *rpc_server_,
        gate_,
        orders_,
        placements_,
        rpc_methods::hooks{
            .config_offset = [this] { return configuration_.offset(); },
            .is_blocked = [this](std::string const& it) { return configuration_.is_blocked(it); },
            .drain = [this] { begin_stop(); }});
    work_ = std::make_unique<work_endpoint>(*server_, gate_, journal_);
    metrics_.serve(*server_);
    status_pages::serve(
        *server_,
        journal_,
        {.is_ready = [this] { return is_ready(); },
         .create_status = [this] { return create_status(); }});
}

void agent::start_timers()
{
    loop_->every(tick_interval, [this] { gate_.tick(); });
    loop_->every(tick_interval, [this] { end_stop_if_drained(); });
    loop_->every(settings_.heartbeat_interval, [this] { placements_.tick(); });
    loop_->every(settings_.heartbeat_interval, [this] { load_.tick(); });
    loop_->every(settings_.probe_interval, [this] { probe_.tick(); });
    loop_->every(settings_.heartbeat_interval, [this] { routers_.send_heartbeats(); });
    loop_->every(settings_.heartbeat_interval, [this] { gauges_.update(); });
    loop_->post([this] { routers_.send_heartbeats(); });
    loop_->on_stop_signal([this] { begin_stop(); });
}

void agent::run()
{
    spdlog::info("[gate] agent {} listens on {}", to_text(self_), server_->address());
    loop_->run();
}

void agent::begin_stop()
{
    if (std::exchange(is_stopping_, true))
        return;
    spdlog::info("[gate] stopping, {} requests run", gate_.running());
    gate_.drain();
    routers_.broadcast_heartbeat();
    loop_->after(settings_.shutdown_timeout, [this] { end_stop(); });
}

void agent::end_stop_if_drained()
{
    if (!is_stopping_ || is_closing_ || !gate_.is_drained())
        return;
    is_closing_ = true;
    spdlog::info("[gate] drained");
    // `http_server::stop` lets readers receive the end of their responses.
    routers_.report_stop(self_, [this] { server_->stop([this] { loop_->stop(); }); });
}

void agent::end_stop()
{
    if (gate_.running() > 0 || gate_.unacknowledged() > 0)
        spdlog::warn(
            "[gate] stopped with {} running requests and {} unacknowledged usage items",
            gate_.running(),
            gate_.unacknowledged());
    loop_->stop();
}

} // namespace almondcart
