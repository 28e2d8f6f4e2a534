#include "relay.hpp"

#include <almondcart/core/clock.hpp>
#include <almondcart/core/logging.hpp>
#include <almondcart/core/status.hpp>

#include <spdlog/spdlog.h>

#include <utility>

namespace almondcart {

namespace {

constexpr duration log_flush_interval{500};

/// Largest call of a gateway, which is also the largest body of a caller's request. Appends are far
/// below it.
constexpr std::size_t body_limit_bytes = std::size_t{4} * 1024 * 1024;

/// Longest time that a stopping process waits for its calls, which is below the usual grace time.
constexpr duration stop_timeout{5'000};

} // namespace

relay::relay(relay_settings settings)
    : settings_(std::move(settings))
    , client_(loop_)
    , store_(
          client_,
          settings_.store_address,
          {.on_call =
               [this](platform::relay_outcome outcome)
           {
               metrics_
                   .counter(
                       "almondcart_relayed_calls_total",
                       "Calls of gateways to the store by outcome",
                       {{"outcome", std::string(platform::name_of(outcome))}})
                   .Increment();
           },
           .on_change =
               [](bool is_reachable, absl::Status const& status)
           {
               if (is_reachable)
                   spdlog::info("[relay] store available again");
               else
                   spdlog::warn("[relay] store unavailable: {}", message_of(status));
           }},
          settings_.memory_mb)
    , load_(loop_)
{}

absl::StatusOr<std::unique_ptr<relay>> relay::create(relay_settings settings)
{
    std::unique_ptr<relay> result(new relay(std::move(settings)));
    if (auto status = result->listen(); !status.ok())
        return status;
    return result;
}

absl::Status relay::listen()
{
    auto const limiter = std::make_shared<connection_limiter>(
        connection_limits::derive(settings_.memory_mb, settings_.max_descriptors),
        system_clock_source::create());
    metrics_.watch(limiter);
    auto server = http_server::create(loop_, {settings_.listen, body_limit_bytes, limiter});
    if (!server.ok())
        return server.status();
    server_ = *std::move(server);
    metrics_.serve(*server_);
    store_.serve(*server_);
    return settings_.load_listen.empty() ? absl::OkStatus() : load_.open(settings_.load_listen);
}

void relay::run()
{
    spdlog::info(
        "[relay] started vm={} listen={} store={}",
        settings_.name,
        settings_.listen,
        settings_.store_address);
    loop_.on_stop_signal([this] { begin_stop(); });
    loop_.on_reload_signal([] { spdlog::info("[relay] settings take effect at the next start"); });
    loop_.every(log_flush_interval, [] { flush_stdout_logging(); });
    loop_.run();
    spdlog::info("[relay] stopped");
}

void relay::begin_stop()
{
    if (std::exchange(is_stopping_, true))
        return;
    spdlog::info("[relay] stopping calls={}", store_.in_progress());
    server_->stop([this] { loop_.stop(); });
    loop_.after(stop_timeout, [this] { loop_.stop(); });
}

} // namespace almondcart
