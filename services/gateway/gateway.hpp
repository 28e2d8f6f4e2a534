#pragma once

#include <almondcart/forwarding/link_load.hpp>
#include <almondcart/forwarding/log_path_selector.hpp>
#include <almondcart/http/http_client.hpp>
#include <almondcart/http/http_server.hpp>
#include <almondcart/http1/inbound_server.hpp>
#include <almondcart/platform/store_client.hpp>
#include <almondcart/platform/topic_follower.hpp>

#include <memory>
#include <string>

#include "client_limit_log.hpp"
#include "client_limits.hpp"
#include "crash_reports.hpp"
#include "gateway_announcement.hpp"
#include "gateway_context.hpp"
#include "heap_release.hpp"
#include "operator_topic.hpp"
#include "prepaid_accounts.hpp"
#include "token_transfer_rpc.hpp"

namespace almondcart {

/// The gateway process: follows the platform's store and serves clients, the readiness checks of
/// the load balancer, metrics and other gateways.
class gateway
{
public:
    static absl::StatusOr<std::unique_ptr<gateway>>
    create(gateway_settings settings, std::string settings_file);

    ~gateway();
    gateway(gateway const&) = delete;
    gateway& operator=(gateway const&) = delete;

    /// Runs until a stop signal, then shuts down gracefully.
    void run();

private:
    gateway(gateway_settings settings, std::string settings_file);

    absl::Status listen();
    void start();
    void follow_upstreams();
    void on_drain_change(forwarding::drained_zones::change const& change);
    void set_drain_gauges();
    forwarding::cold_start_limiter::hooks create_cold_start_hooks();
    void update_cold_starts();
    void apply_configuration(std::string const& text, std::int64_t offset);
    void update_relays();
    void handle(std::shared_ptr<http1::inbound_exchange> exchange);
    void serve_readiness(http_exchange& exchange) const;
    void update_readiness();
    void run_maintenance();
    void update_link_load();
    void update_limits();
    void check_settings_file();
    void reload();
    void begin_stop();
    void try_stop();

    gateway_settings settings_;
    client_limits limits_;
    std::string settings_file_;
    std::int64_t settings_modified_ns_ = 0;
    event_loop loop_;
    http_client client_;
    forwarding::log_path_selector store_paths_;
    platform::store_client store_;
    forwarding::exchange_codec codec_;
    forwarding::drained_zones drained_;
    upstream_connections connections_;
    forwarding::upstream_directory directory_;
    gateway_announcement announcement_;
    forwarding::cold_start_limiter cold_starts_;
    forwarding::upstream_picker picker_;
    gateway_metrics metrics_;
    engine_placement placement_;
    client_limit_log limit_log_;
    heap_release heap_;
    token_transfer_rpc peers_;
    prepaid_accounts prepaid_;
    crash_reports crashes_;
    gateway_context context_;
    forwarding::link_load link_;
    bool are_relays_outdated_ = false;
    instant cold_starts_checked_{};
    operator_topic operator_topic_;
    std::unique_ptr<platform::topic_follower> upstream_topic_;
    std::unique_ptr<http_server> readiness_server_;
    std::unique_ptr<http_server> status_server_;
    std::unique_ptr<http1::inbound_server> server_;
};

} // namespace almondcart
