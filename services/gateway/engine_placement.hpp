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

/// Selects upstreams. For engines it first asks the processes beside a few of them for their load,
/// and tells them about the requests that this gateway sends.
class engine_placement
{
public:
    using callback = std::function<void(forwarding::upstream_pointer)>;

    /// With `load_port` 0 nothing is asked, and the picker alone decides.
    engine_placement(
        event_loop& loop,
        forwarding::upstream_picker& picker,
        gateway_metrics& metrics,
        std::string availability_zone,
        int load_port);

    /// Opens the socket for datagrams on `ip`.
    absl::Status open(std::string const& listen_address);

    /// Calls `done` with an upstream, or null if none accepts work; at once or some milliseconds
    /// later.
    void select(forwarding::pick_request const& request, callback done);

private:
    struct round
    {
        std::vector<forwarding::engine_candidate> candidates;
        forwarding::prompt_info prompt;
        callback done;
        timer timeout;
        std::size_t answers = 0;
    };

    void receive(std::string_view data);
    void finish(std::int64_t number);
    void send(forwarding::upstream const& target, forwarding::load_message const& message);

    event_loop& loop_;
    forwarding::upstream_picker& picker_;
    gateway_metrics& metrics_;
    forwarding::engine_chooser chooser_;
    int load_port_;
    std::unique_ptr<datagram_socket> socket_;
    std::map<std::int64_t, round> rounds_; ///< by number of the first query
    std::int64_t next_number_ = 0;
};

} // namespace almondcart
