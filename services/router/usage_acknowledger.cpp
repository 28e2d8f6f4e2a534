#include "usage_acknowledger.hpp"

#include <utility>

namespace almondcart {

namespace {

constexpr duration acknowledge_timeout{2'000};

} // namespace

usage_acknowledger::usage_acknowledger(
    fleet_state const& state,
    membership const& members,
    json_rpc_client& rpc)
    : state_(state)
    , members_(members)
    , rpc_(rpc)
{}

void usage_acknowledger::track(request_id const& id, std::string const& upstream)
{
    auto const* entry = state_.shard_of_account(id.account).find_request(id);
    if (entry != nullptr && entry->is_billed)
    {
        due_[upstream].insert(id);
        return;
    }
    if (!tracked_.insert_or_assign(id, upstream).second)
        return;
    insertion_order_.push_back(id);
    if (insertion_order_.size() <= tracked_limit)
        return;
    tracked_.erase(insertion_order_.front());
    insertion_order_.pop_front();
}

void usage_acknowledger::mark_billed(usage_record const& usage)
{
    for (auto const& item : usage.items)
    {
        auto node = tracked_.extract(item.request);
        if (!node.empty())
            due_[node.mapped()].insert(item.request);
    }
}

void usage_acknowledger::tick()
{
    for (auto const& [upstream, requests] : std::exchange(due_, {}))
        send(upstream, requests);
}

void usage_acknowledger::send(std::string const& upstream, std::set<request_id> const& requests)
{
    auto const* member = members_.find_upstream(upstream);
    if (member == nullptr)
        return;
    Json::Value params(Json::objectValue);
    params["requests"] = Json::Value(Json::arrayValue);
    for (auto const& id : requests)
        params["requests"].append(to_text(id));
    // A lost acknowledgement is repeated when the agent offers the usage again.
    rpc_.call(member->address, "acknowledge", params, acknowledge_timeout, [](auto const&) {});
}

} // namespace almondcart
