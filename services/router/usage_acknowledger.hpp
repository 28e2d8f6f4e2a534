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

/// Tells agents which usage is on the log, so that they can discard it.
class usage_acknowledger
{
public:
    usage_acknowledger(fleet_state const& state, membership const& members, json_rpc_client& rpc);

    /// Remembers that the agent of `upstream` holds the usage of this request until it is billed.
    void track(request_id const& id, std::string const& upstream);

    /// Marks the requests of an applied usage record as billed, which makes their acknowledgements
    /// due.
    void mark_billed(usage_record const& usage);

    /// Sends the due acknowledgements, one message for each agent.
    void tick();

private:
    /// Limit of tracked requests. The oldest are dropped, because agents offer their usage again.
    static constexpr std::size_t tracked_limit = 50'000;

    void send(std::string const& upstream, std::set<request_id> const& requests);

    fleet_state const& state_;
    membership const& members_;
    json_rpc_client& rpc_;
    std::map<request_id, std::string> tracked_;
    std::deque<request_id> insertion_order_;
    std::map<std::string, std::set<request_id>> due_; ///< by upstream
};

} // namespace almondcart
