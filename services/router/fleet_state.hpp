#pragma once

#include <almondcart/core/identifiers.hpp>
#include <almondcart/ledger/budget_shard_state.hpp>
#include <almondcart/ledger/configuration_state.hpp>

#include <absl/status/status.h>
#include <json/json.h>

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondcart {

/// A router's copy of the fleet's state, built from the log: the configuration and the budget
/// shards. Owns no connection; records come from the log client, whole states from checkpoints and
/// peers.
class fleet_state
{
public:
    struct hooks
    {
        /// Called after the configuration has moved to a higher offset.
        std::function<void(configuration_state const&)> configuration_changed;
        /// Called after a record has been applied to a budget shard.
        std::function<void(stored_record const&, budget_shard_state const&)> record_applied;
        /// Called after a budget shard has been replaced by a state from a checkpoint or a peer.
        std::function<void(budget_shard_state const&)> shard_replaced;
    };

    fleet_state();

    void set_hooks(hooks hooks) { hooks_ = std::move(hooks); }

    configuration_state const& configuration() const { return configuration_; }
    budget_shard_state const& shard(int n) const { return shards_.at(static_cast<std::size_t>(n)); }
    budget_shard_state const& shard_of_account(account_id const& account) const
    {
        return shard(shard_of(account));
    }

    void apply(std::string_view stream, stored_record const& record);
    void skip(std::string_view stream, std::int64_t offset, std::int64_t time_ms);

    /// Replaces the state of a stream if `state` is at a higher offset. Errors carry
    /// `malformed_request`.
    absl::Status replace(std::string_view stream, Json::Value const& state);

    /// Offset up to which a stream has been applied, or -1 if nothing has been.
    std::int64_t offset(std::string_view stream) const;

    Json::Value to_json(std::string_view stream) const;

    /// Names of all streams: `config` and the budget shards.
    static std::vector<std::string> const& streams();

    /// Whether this agent incarnation has started, and not stopped, on every shard.
    bool is_registered(process_id const& agent) const;

    /// Newest log time of all streams, in milliseconds.
    std::int64_t time_ms() const;

private:
    budget_shard_state* find_shard(std::string_view stream);
    budget_shard_state const* find_shard(std::string_view stream) const;

    hooks hooks_;
    configuration_state configuration_;
    std::vector<budget_shard_state> shards_;
};

} // namespace almondcart
