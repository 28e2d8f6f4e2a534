#pragma once

#include <almondcart/core/random_sequence.hpp>
#include <almondcart/http/event_loop.hpp>
#include <almondcart/http1/outbound_connection.hpp>

#include <platform/store_standin.hpp>
#include <platform/upstream_standin.hpp>

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "faulty_link.hpp"
#include "invariant_checker.hpp"
#include "statement_checker.hpp"
#include "support/child_process.hpp"
#include "support/club_configuration.hpp"

namespace almondcart::soak {

struct soak_settings
{
    std::uint64_t seed = 1;
    duration time{10'000};
    int gateways = 3;
    int upstreams = 4;
    int clients = 12;
    std::string log_directory = "/tmp";
};

/// Gateway processes between clients, upstreams and a store, with a faulty link on each path, and a
/// relay process beside the upstreams.
/// Injects a series of random faults, which may overlap and depend on the seed.
class soak_fleet
{
public:
    explicit soak_fleet(soak_settings settings);
    ~soak_fleet();
    soak_fleet(soak_fleet const&) = delete;
    soak_fleet& operator=(soak_fleet const&) = delete;

    /// Runs with faults, then stops injecting them and waits until every gateway serves requests.
    void run();

    invariant_checker const& checker() const { return checker_; }
    int fault_count() const { return fault_count_; }

private:
    struct gateway
    {
        std::string name;
        std::string listen;
        std::string readiness;
        std::string peers;
        std::string status;
        std::unique_ptr<faulty_link> front; ///< between clients and the process
        std::unique_ptr<faulty_link> store; ///< between the process and the store
        std::optional<test_support::child_process> process;
        bool is_busy = false; ///< stopping, paused or about to start
    };

    struct upstream
    {
        std::unique_ptr<standins::upstream_standin> server;
        std::unique_ptr<faulty_link> link;
        duration pause{0}; ///< that its refusals ask for
    };

    struct client
    {
        std::unique_ptr<http1::outbound_connection> connection;
        std::size_t gateway = 0;
        call current;
        bool is_waiting = false;
    };

    std::string file_path(gateway const& it, std::string_view suffix) const;
    void start(gateway& it);
    void start_relay();
    void restart_reloaded();
    void configure(std::int64_t prepaid);
    void register_upstream(upstream const& it, std::string const& state);

    void send_next(std::size_t client);
    void connect(client& it);
    void finish(std::size_t client, http1::exchange_outcome end);
    bool is_served(std::size_t gateway);

    void inject_fault();
    void inject_process_fault(gateway& it);
    void kill(gateway& it);
    void pause(gateway& it);
    void stop(gateway& it);
    void inject_relay_fault();
    void inject_link_fault(faulty_link& link, std::string const& name);
    void inject_store_fault();
    void inject_upstream_fault(upstream& it);
    void inject_statement(upstream& it);
    void leave(upstream& it);
    void ask_for_pause(upstream& it);
    void check_arrival(std::size_t upstream, std::string const& request);
    void forget_statements_to(gateway const& it);
    void top_up_account();
    void stop_faults();
    void log_fault(std::string const& what);
    int random_below(int n) { return static_cast<int>(random_.next() % static_cast<unsigned>(n)); }

    soak_settings settings_;
    random_sequence random_;
    /// Separate, so that a seed keeps its faults of the gateways.
    random_sequence relay_random_;
    random_sequence statement_random_;
    event_loop loop_;
    standins::store_standin store_{loop_};
    invariant_checker checker_;
    statement_checker statements_;
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::string relay_address_;
    std::optional<test_support::child_process> relay_;
    std::vector<upstream> upstreams_;
    std::vector<client> clients_;
    std::vector<bool> served_; ///< by gateway, since fault injection stopped
    int version_ = 0;
    std::int64_t prepaid_ = 0;
    int next_request_ = 0;
    int fault_count_ = 0;
    bool are_faults_active_ = true;
    bool is_finished_ = false;
};

} // namespace almondcart::soak
