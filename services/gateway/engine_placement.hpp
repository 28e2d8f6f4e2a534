#pragma once

#include <almondcart/forwarding/engine_chooser.hpp>
#include <almondcart/forwarding/load_message.hpp>
#include <almondcart/forwarding/upstream_picker.hpp>
#include <almondcart/http/datagram_socket.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "gateway_metrics.hpp"

namespace almondcart {

struct engine_placement_settings
{
    std::string availability_zone;
    int load_port = 0;    ///< of the processes beside engines; 0: the picker alone decides
    int min_gateways = 1; ///< smaller fleets ask nothing, since each gateway sees enough itself
};

/// Selects upstreams. For engines it first asks the processes beside a few of them for their load,
/// and tells them about the requests that this gateway sends.
class engine_placement
{
public:
    using callback = std::function<void(forwarding::upstream_pointer)>;

    engine_placement(
        event_loop& loop,
        forwarding::upstream_picker& picker,
        gateway_metrics& metrics,
        engine_placement_settings settings);

    /// Opens the UDP socket on the host of `listen_address`, at a free port. Does nothing without a
    /// `load_port`.
    absl::Status open(std::string const& listen_address);

    void set_gateway_count(std::size_t n);

    /// Sets the utilization of the VM's link, from 0 to 1.
    void set_link_utilization(double utilization) { link_utilization_ = utilization; }

    /// Calls `done` with an upstream, or null if none accepts work; at once or some milliseconds
    /// later.
    void select(forwarding::pick_request const& request, callback done);

private:
    struct round
    {
        std::string service;
        std::vector<std::string> excluded;
        std::vector<forwarding::engine_candidate> candidates;
        forwarding::prompt_info prompt;
        callback done;
        timer timeout;
        std::size_t answers = 0;
    };

    /// Whether engines' loads are announced now.
    bool is_active() const;

    /// Whether engines are asked for their load for this prompt.
    bool should_ask(forwarding::prompt_info const& prompt) const;

    void receive(std::string_view data, socket_address const& sender);
    std::string load_address_of(forwarding::upstream const& target) const;
    void finish(std::int64_t number);
    void send(forwarding::upstream const& target, forwarding::load_message const& message);

    event_loop& loop_;
    forwarding::upstream_picker& picker_;
    gateway_metrics& metrics_;
    forwarding::engine_chooser chooser_;
    engine_placement_settings settings_;
    bool is_fleet_large_ = false;
    double link_utilization_ = 0;
    std::unique_ptr<datagram_socket> socket_;
    std::map<std::int64_t, round> rounds_; ///< by number of the first query
    std::int64_t next_number_ = 0;
};

} // namespace almondcart
