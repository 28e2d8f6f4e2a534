#pragma once

#include <almondcart/budget/grant_recovery.hpp>
#include <almondcart/http/metrics.hpp>

#include <absl/status/statusor.h>

#include <memory>

#include "agent_directory.hpp"
#include "agent_registrar.hpp"
#include "control_service.hpp"
#include "document_publisher.hpp"
#include "fleet_log.hpp"
#include "fleet_state.hpp"
#include "front_end.hpp"
#include "limit_publisher.hpp"
#include "peer_links.hpp"
#include "request_directory.hpp"
#include "router_context.hpp"
#include "router_settings.hpp"
#include "status_report.hpp"
#include "upstream_pool.hpp"
#include "usage_acknowledger.hpp"
#include "vm_list_reader.hpp"

namespace almondcart {

/// The router process. Owns the components of a router and connects them.
class router
{
public:
    /// Binds the listeners. Errors carry `invalid_settings`.
    static absl::StatusOr<std::unique_ptr<router>> create(router_settings settings);

    /// Runs until a graceful shutdown has finished.
    void run();

private:
    router(
        router_settings settings,
        std::unique_ptr<event_loop> loop,
        std::unique_ptr<http_server> request_server,
        std::unique_ptr<http_server> control_server);

    fleet_state::hooks create_state_hooks();
    budget_holder::hooks create_holder_hooks();
    transfer_broker::hooks create_broker_hooks();
    grant_recovery::hooks create_recovery_hooks();
    membership_hooks create_member_hooks();
    crash_suspects_hooks create_suspect_hooks();
    peer_links::hooks create_peer_hooks();
    status_report::sources create_status_sources();

    void configuration_changed(configuration_state const& state);
    void record_applied(stored_record const& record, budget_shard_state const& state);
    void usage_billed(request_id const& id);
    void request_transfer(
        process_id const& peer,
        transfer_id const& transfer,
        budget_id const& budget,
        token_count tokens,
        transfer_broker::transfer_callback done);
    void close_grant(
        process_id const& agent,
        grant_id const& grant,
        grant_recovery::report_callback done);
    bool is_dead(process_id const& holder) const;
    void fingerprint_identified(
        std::string const& fingerprint,
        std::vector<crash_record> const& records);
    void fingerprint_cleared(std::string const& fingerprint, crash_set const& crashes);
    void serve_health(http_server& server);
    void serve_reports(http_server& server);
    void update_metrics();
    void update_budget_metrics(budget_entry const& entry);
    void tick();
    void begin_stop();
    void continue_stop();

    router_settings settings_;
    process_id self_;
    std::unique_ptr<event_loop> loop_;
    std::unique_ptr<http_server> request_server_;
    std::unique_ptr<http_server> control_server_;
    event_journal journal_;
    http_client client_;
    json_rpc_client rpc_;
    json_rpc_server rpc_server_;
    metrics metrics_;
    fleet_state state_;
    fleet_log log_;
    membership members_;
    upstream_pools pools_;
    budget_holder holder_;
    transfer_broker broker_;
    grant_recovery recovery_;
    retry_budget retries_;
    crash_suspects suspects_;
    request_directory directory_;
    router_context context_;
    agent_directory agents_;
    agent_registrar registrar_;
    limit_publisher limits_;
    usage_acknowledger acknowledger_;
    peer_links peers_;
    document_publisher publisher_;
    front_end front_end_;
    status_report status_;
    control_service control_service_;
    vm_list_reader vm_list_;
    instant started_;
    instant stop_deadline_;
    bool is_stopping_ = false;
};

} // namespace almondcart
