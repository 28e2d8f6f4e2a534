#include "gateway.hpp"

#include <almondcart/core/hash.hpp>
#include <almondcart/core/logging.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/http1/byte_stream.hpp>
#include <almondcart/platform/exchange_headers.hpp>
#include <almondcart/platform/operator_records.hpp>

#include <spdlog/spdlog.h>
#include <sys/stat.h>

#include <csignal>
#include <set>
#include <utility>

#include "forward_session.hpp"

namespace almondcart {

namespace {

/// Pause between reads of the registry, to which each upstream writes about once a second.
constexpr duration registry_read_pause{200};

/// While the store is overloaded. An entry that is not renewed lapses after about 3.6 s, so reads
/// stay well below that.
constexpr duration registry_max_pause{1'600};

constexpr duration maintenance_interval{50};
constexpr duration settings_check_interval{1000};
constexpr duration fleet_check_interval{1000};

constexpr int http_ok = 200;
constexpr int http_unavailable = 503;

forwarding::prepaid_holder_settings prepaid_settings(gateway_settings const& settings)
{
    forwarding::prepaid_holder_settings result;
    result.vm = settings.name;
    result.peer_address = settings.peer_listen;
    return result;
}

forwarding::link_load_settings link_settings(gateway_settings const& settings)
{
    constexpr double bytes_per_megabit = 125'000;
    forwarding::link_load_settings result;
    result.bytes_per_s = settings.link_mbps * bytes_per_megabit;
    return result;
}

forwarding::log_path_settings store_path_settings(gateway_settings const& settings)
{
    forwarding::log_path_settings result;
    result.availability_zone = settings.availability_zone;
    result.seed = hash64(settings.name);
    return result;
}

forwarding::log_path_selector::hooks create_store_path_hooks(event_loop& loop)
{
    forwarding::log_path_selector::hooks hooks;
    hooks.clock = [&loop] { return loop.now(); };
    hooks.on_change = [](bool is_direct_up, std::string_view evidence) {
        spdlog::info(
            "[store] path={} direct_result={}", is_direct_up ? "direct" : "relay", evidence);
    };
    return hooks;
}

/// Returns hooks that log when the store becomes unavailable or available again. The caller sets
/// the other hooks.
platform::topic_follower::hooks topic_hooks(std::string const& part)
{
    platform::topic_follower::hooks hooks;
    hooks.on_position = [](std::int64_t) {};
    hooks.on_disconnected = [part](platform::store_error error)
    { spdlog::warn("[{}] store unavailable: {}", part, platform::name_of(error)); };
    hooks.on_reconnected = [part] { spdlog::info("[{}] store available again", part); };
    return hooks;
}

/// Decodes a registry entry. Returns nothing if it was removed or is invalid.
std::optional<forwarding::upstream_entry> decode_entry(platform::keyed_record const& record)
{
    if (!record.value)
        return std::nullopt;
    auto entry = platform::decode_upstream(record.key, *record.value);
    if (entry.ok())
        return *std::move(entry);
    spdlog::warn(
        "[upstreams] upstream={} offset={} invalid registry entry: {}",
        record.key,
        record.offset,
        message_of(entry.status()));
    return std::nullopt;
}

std::int64_t modification_time_ns(std::string const& file)
{
    struct stat information
    {};
    if (stat(file.c_str(), &information) != 0)
        return 0;
    constexpr std::int64_t nanoseconds_per_second = 1'000'000'000;
    return information.st_mtim.tv_sec * nanoseconds_per_second + information.st_mtim.tv_nsec;
}

} // namespace

gateway::gateway(gateway_settings settings, std::string settings_file)
    : settings_(std::move(settings))
    , limits_(client_limits::of(settings_))
    , settings_file_(std::move(settings_file))
    , settings_modified_ns_(modification_time_ns(settings_file_))
    , client_(loop_)
    , store_paths_(store_path_settings(settings_), create_store_path_hooks(loop_))
    , store_(loop_, client_, store_paths_, settings_.store_address)
    , codec_(platform::create_exchange_codec())
    , connections_(loop_, drained_)
    , directory_(
          [this](forwarding::upstream const& it)
          {
              spdlog::info(
                  "[upstreams] upstream={} service={} address={} draining={} leaving={} gone={}",
                  it.entry.id,
                  it.entry.service,
                  it.entry.address,
                  it.entry.is_draining,
                  it.statement.is_leaving,
                  it.is_gone);
              are_relays_outdated_ = true;
              if (it.accepts_work())
                  return;
              connections_.close_idle(it.entry.id);
              if (it.is_gone)
                  picker_.forget(it.entry.id);
          },
          [this] { return loop_.now(); })
    , announcement_(loop_, store_, settings_.name)
    , cold_starts_(create_cold_start_hooks(), announcement_.registry())
    , picker_(
          [this] { return loop_.now(); },
          {.availability_zone = settings_.availability_zone, .seed = hash64(settings_.name)},
          directory_,
          &drained_,
          &cold_starts_)
    , placement_(
          loop_,
          picker_,
          metrics_,
          {.availability_zone = settings_.availability_zone,
           .load_port = settings_.load_port,
           .min_gateways = settings_.load_query_gateways})
    , limit_log_(metrics_)
    , peers_(loop_, client_, settings_.name, metrics_, prepaid_)
    , prepaid_(
          loop_,
          store_,
          prepaid_settings(settings_),
          settings_.prepaid_topics,
          [this](std::string const& name)
          {
              auto const& current = context_.configuration;
              return current == nullptr ? std::nullopt : current->prepaid_tokens(name);
          },
          peers_.exchange())
    , crashes_(loop_, store_, metrics_, settings_.name)
    , context_{
          loop_,
          settings_,
          codec_,
          nullptr,
          directory_,
          drained_,
          cold_starts_,
          picker_,
          placement_,
          prepaid_,
          connections_,
          crashes_,
          metrics_,
          std::make_shared<buffer_budget>(limits_.buffer_bytes, limits_.overrun_bytes),
          {},
          false,
          false,
          {},
          random_sequence(hash64(
              settings_.name,
              static_cast<std::uint64_t>(system_clock_source::wall_time_ms())))}
    , link_([this] { return loop_.now(); }, link_settings(settings_))
    , operator_topic_(
          loop_,
          store_,
          hash64(settings_.name),
          drained_,
          [this](std::string const& text, std::int64_t offset)
          { apply_configuration(text, offset); })
{
    drained_.on_change([this](auto const& it) { on_drain_change(it); });
}

gateway::~gateway() = default;

absl::StatusOr<std::unique_ptr<gateway>>
gateway::create(gateway_settings settings, std::string settings_file)
{
    std::unique_ptr<gateway> result(new gateway(std::move(settings), std::move(settings_file)));
    if (auto status = result->listen(); !status.ok())
        return status;
    return result;
}

absl::Status gateway::listen()
{
    auto server = http1::inbound_server::create(
        loop_,
        settings_.listen,
        [this](std::shared_ptr<http1::inbound_exchange> it) { handle(std::move(it)); });
    if (!server.ok())
        return server.status();
    server_ = *std::move(server);
    server_->set_buffer_budget(context_.buffers);
    server_->set_connection_limit(limits_.connections);
    server_->on_limit([this](http1::client_limit limit, std::string const& address)
                      { limit_log_.record(limit, address); });
    connections_.set_stream_limit(limits_.streams);
    metrics_.set_limits(limits_.connections, limits_.streams, limits_.buffer_bytes);
    auto readiness = http_server::create(loop_, {settings_.readiness_listen});
    if (!readiness.ok())
        return readiness.status();
    readiness_server_ = *std::move(readiness);
    readiness_server_->route(
        "*", "/", [this](std::shared_ptr<http_exchange> const& it) { serve_readiness(*it); });
    auto status_server = http_server::create(loop_, {settings_.status_listen});
    if (!status_server.ok())
        return status_server.status();
    status_server_ = *std::move(status_server);
    metrics_.registry().serve(*status_server_);
    if (auto status = placement_.open(settings_.peer_listen); !status.ok())
        return status;
    return peers_.listen(settings_.peer_listen);
}

void gateway::run()
{
    start();
    loop_.run();
    spdlog::info("[gateway] stopped");
}

void gateway::start()
{
    spdlog::info(
        "[gateway] started vm={} availability_zone={} listen={} up_ms={} connection_limit={} "
        "buffer_limit_bytes={}",
        settings_.name,
        settings_.availability_zone,
        settings_.listen,
        loop_.now().since_epoch.count(),
        limits_.connections,
        limits_.buffer_bytes);
    loop_.on_stop_signal([this] { begin_stop(); });
    loop_.on_reload_signal([this] { reload(); });
    operator_topic_.start();
    announcement_.start();
    follow_upstreams();
    prepaid_.start();
    crashes_.start();
    loop_.every(maintenance_interval, [this] { run_maintenance(); });
    loop_.every(settings_check_interval, [this] { check_settings_file(); });
    loop_.every(
        fleet_check_interval,
        [this] { placement_.set_gateway_count(announcement_.registry().size()); });
}

void gateway::apply_configuration(std::string const& text, std::int64_t offset)
{
    auto content = platform::decode_configuration(text);
    if (!content.ok())
    {
        spdlog::error("[config] offset={} rejected: {}", offset, message_of(content.status()));
        return;
    }
    auto const& current = context_.configuration;
    if (current != nullptr && content->version <= current->version())
        return;
    auto const& limits = content->limits;
    server_->set_limits(
        {limits.header_bytes, limits.body_bytes, limits.header_timeout, limits.idle_timeout});
    spdlog::info(
        "[config] version={} offset={} routes={} services={} accounts={} applied",
        content->version,
        offset,
        content->routes.size(),
        content->services.size(),
        content->accounts.size());
    context_.configuration =
        std::make_shared<forwarding::configuration_view const>(*std::move(content));
    for (auto const& it : context_.configuration->content().accounts)
        spdlog::info(
            "[config] version={} account={} prepaid={} claimed={}",
            context_.configuration->version(),
            it.name,
            it.prepaid_tokens.value_or(-1),
            prepaid_.holder_of(it.name).ledger().claimed(it.name));
    are_relays_outdated_ = true;
    update_readiness();
}

void gateway::update_relays()
{
    if (settings_.relay_port == 0 || context_.configuration == nullptr ||
        !std::exchange(are_relays_outdated_, false))
        return;
    std::set<forwarding::log_relay> relays;
    for (auto const& [id, it] : directory_.all())
    {
        auto const* service = context_.configuration->find_service(it->entry.service);
        if (service == nullptr || !service->engine)
            continue;
        auto const& address = it->entry.address;
        auto const host = address.substr(0, address.rfind(':'));
        relays.insert(
            {host + ":" + std::to_string(settings_.relay_port), it->entry.availability_zone});
    }
    store_paths_.set_relays(relays);
}

void gateway::follow_upstreams()
{
    auto hooks = topic_hooks("upstreams");
    hooks.on_snapshot = [this](auto const& records, std::int64_t /*end*/)
    {
        std::map<std::string, forwarding::upstream_entry> entries;
        for (auto const& [key, record] : records)
        {
            if (auto entry = decode_entry(record))
                entries.emplace(key, *std::move(entry));
        }
        directory_.replace_all(entries);
        update_readiness();
    };
    hooks.on_record = [this](platform::keyed_record const& record)
    { directory_.apply(record.key, decode_entry(record)); };
    upstream_topic_ = std::make_unique<platform::topic_follower>(
        loop_,
        store_,
        platform::topic_follower_settings{
            .topic = platform::upstream_topic,
            .pacing =
                {.pause = registry_read_pause,
                 .max_pause = registry_max_pause,
                 .seed = hash64(settings_.name)}},
        std::move(hooks));
    upstream_topic_->start();
}

void gateway::handle(std::shared_ptr<http1::inbound_exchange> exchange)
{
    std::make_shared<forward_session>(context_, std::move(exchange))->start();
}

void gateway::update_readiness()
{
    bool const is_ready =
        context_.configuration != nullptr && upstream_topic_ != nullptr && directory_.size() > 0 &&
        prepaid_.is_synced() &&
        (announcement_.registry().is_complete() || !context_.configuration->limits_cold_starts());
    if (is_ready && !std::exchange(context_.is_ready, true))
        spdlog::info("[gateway] ready");
}

void gateway::serve_readiness(http_exchange& exchange) const
{
    bool const is_ready = context_.is_ready && !context_.is_stopping && !link_.is_overloaded();
    exchange.respond_text(
        is_ready ? http_ok : http_unavailable, "text/plain", is_ready ? "ready" : "not ready");
}

void gateway::run_maintenance()
{
    update_readiness();
    flush_stdout_logging();
    update_relays();
    prepaid_.tick();
    crashes_.tick();
    update_link_load();
    set_drain_gauges();
    update_cold_starts();
    connections_.expire();
    metrics_.set_gauges(
        server_->connection_count(),
        connections_.opened_count(),
        store_.call_count(),
        store_.overloaded_count());
    update_limits();
    metrics_.set_store_path(store_paths_.is_direct_up(), store_paths_.relay_count());
    if (context_.is_stopping)
        try_stop();
}

void gateway::update_limits()
{
    auto const buffered = context_.buffers->used_bytes();
    metrics_.set_buffered_bytes(buffered);
    metrics_.set_open_streams(http1::byte_stream::open_count());
    limit_log_.tick(loop_.now(), server_->connection_count(), buffered);
    heap_.tick(loop_.now(), buffered);
}

void gateway::update_link_load()
{
    auto const& totals = http1::byte_stream::totals();
    bool const was_overloaded = link_.is_overloaded();
    link_.update(totals.received, totals.sent);
    placement_.set_link_utilization(link_.utilization());
    if (link_.is_overloaded() == was_overloaded)
        return;
    spdlog::info(
        "[gateway] link overloaded={} utilization={:.2f} connections={}",
        link_.is_overloaded(),
        link_.utilization(),
        server_->connection_count());
    // Closing connections lets the load balancer send their clients to gateways with capacity.
    server_->set_draining(link_.is_overloaded() || context_.is_stopping);
}

void gateway::check_settings_file()
{
    auto const changed = modification_time_ns(settings_file_);
    if (changed != std::exchange(settings_modified_ns_, changed))
        reload();
}

void gateway::reload()
{
    auto const settings = gateway_settings::load(settings_file_);
    if (!settings.ok())
    {
        spdlog::error("[gateway] settings not reloaded: {}", message_of(settings.status()));
        return;
    }
    settings_.shutdown_grace = settings->shutdown_grace;
    settings_.retry_share = settings->retry_share;
    context_.retry_budgets.clear();
    spdlog::info("[gateway] settings reloaded");
}

void gateway::begin_stop()
{
    if (std::exchange(context_.is_stopping, true))
        return;
    spdlog::info("[gateway] stopping requests={}", server_->busy_count());
    context_.stop_time = loop_.now();
    server_->set_draining(true);
}

void gateway::try_stop()
{
    auto const now = loop_.now();
    if (now - context_.stop_time < drain_time)
        return;
    server_->close_idle();
    // Requests in progress have their reservations; the rest is for other gateways.
    prepaid_.begin_shutdown();
    bool const is_idle = server_->busy_count() == 0;
    // Until then the others count this gateway among those that may send to cold upstreams.
    if (is_idle)
        announcement_.withdraw();
    bool const is_settled = is_idle && !prepaid_.is_busy() && announcement_.is_withdrawn();
    if (!is_settled && now < context_.stop_deadline())
        return;
    spdlog::info("[gateway] exiting requests={}", server_->busy_count());
    loop_.stop();
}

} // namespace almondcart
