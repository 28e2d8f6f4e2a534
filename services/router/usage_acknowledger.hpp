#pragma once

#include <almondcart/core/identifiers.hpp>
#include <almondcart/http/json_rpc_client.hpp>
#include <almondcart/routing/membership.hpp>

#include <cstddef>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet_state.hpp"

namespace almondcart {

/// Tells agents which usage is on the log, so that they may forget it.
class usage_acknowledger
{
public:
    usage_acknowledger(fleet_state const& state, membership const& members, json_rpc_client& rpc);

    /// The agent of `upstream` holds the usage of this request.
    void expect(request_id const& id, std::string const& upstream);

    /// The fold has billed these requests, or found them billed before.
    void folded(usage_record const& usage);

    /// Sends what is due, one message for each agent.
    void tick();

private:
    /// Expected requests; the oldest are dropped, because agents offer their usage again.
    static constexpr std::size_t expected_limit = 50'000;

    void send(std::string const& upstream, std::set<request_id> const& requests);

    fleet_state const& state_;
    membership const& members_;
    json_rpc_client& rpc_;
    std::map<request_id, std::string> expected_;
    std::deque<request_id> order_;
    std::map<std::string, std::set<request_id>> due_; ///< by upstream
};

} // namespace almondcart
