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
#include "support/child_process.hpp"

namespace almondcart::soak {

struct soak_settings
{
    std::uint64_t seed = 1;
    duration time{10'000};
    int gateways = 3;
    int upstreams = 4;
    int callers = 12;
    std::string log_directory = "/tmp";
};

/// Gateway processes between callers, upstreams and a store, with a faulty link on each path, and
/// faults that a seed chooses. They come in series and overlap.
class soak_fleet
{
public:
    explicit soak_fleet(soak_settings settings);
    ~soak_fleet();
    soak_fleet(soak_fleet const&) = delete;
    soak_fleet& operator=(soak_fleet const&) = delete;

    /// Runs with faults, then ends all faults and waits until each gateway serves again.
    void run();

    invariant_checker const& checks() const { return checks_; }
    int fault_count() const { return fault_count_; }

private:
    struct gateway
    {
        std::string name;
        std::string listen;
        std::string readiness;
        std::string peers;
        std::string status;
        std::unique_ptr<faulty_link> front; ///< between callers and the process
        std::unique_ptr<faulty_link> store; ///< between the process and the store
        std::optional<test_support::child_process> process;
        bool is_busy = false; ///< stopped, paused or about to start
    };

    struct upstream
    {
        std::unique_ptr<standins::upstream_standin> server;
        std::unique_ptr<faulty_link> link;
    };

    struct caller
    {
        std::unique_ptr<http1::outbound_connection> connection;
        std::size_t gateway = 0;
        call current;
        bool is_waiting = false;
    };

    std::string file_of(gateway const& it, std::string_view suffix) const;
    void start(gateway& it);
    void configure(std::int64_t prepaid);
    void register_upstream(upstream const& it, std::string const& state);

    void send_next(std::size_t caller);
    void connect(caller& it);
    void finish(std::size_t caller, http1::exchange_outcome end);
    bool is_served(std::size_t gateway);

    void inject();
    void fault_process(gateway& it);
    void kill(gateway& it);
    void pause(gateway& it);
    void stop(gateway& it);
    void fault_link(faulty_link& link, std::string const& name);
    void fault_store();
    void fault_upstream(upstream& it);
    void change_configuration();
    void end_faults();
    void note(std::string const& what);
    int below(int n) { return static_cast<int>(random_.next() % static_cast<unsigned>(n)); }

    soak_settings settings_;
    random_sequence random_;
    event_loop loop_;
    standins::store_standin store_{loop_};
    invariant_checker checks_;
    std::vector<std::unique_ptr<gateway>> gateways_;
    std::vector<upstream> upstreams_;
    std::vector<caller> callers_;
    std::vector<bool> served_; ///< by gateway, since the faults ended
    int version_ = 0;
    std::int64_t prepaid_ = 0;
    int next_request_ = 0;
    int fault_count_ = 0;
    bool is_faulty_ = true;
    bool is_over_ = false;
};

} // namespace almondcart::soak
