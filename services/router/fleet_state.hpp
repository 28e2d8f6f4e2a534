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

/// All folds of a router: the configuration and the budget shards. Owns no connection; records come
/// from the log client, whole states from checkpoints and peers.
class fleet_state
{
public:
    struct hooks
    {
        /// The configuration moved to a higher offset.
        std::function<void(configuration_state const&)> configuration_changed;
        /// A record of a budget shard was folded.
        std::function<void(stored_record const&, budget_shard_state const&)> record_applied;
        /// A budget shard moved without single records, from a checkpoint or a peer.
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

    /// Replaces a fold if `state` is at a higher offset. Errors carry `malformed_request`.
    absl::Status replace(std::string_view stream, Json::Value const& state);

    /// Offset of a stream's fold, -1 if nothing was folded.
    std::int64_t offset(std::string_view stream) const;

    Json::Value to_json(std::string_view stream) const;

    /// Names of all streams: `config` and the budget shards.
    static std::vector<std::string> const& streams();

    /// Whether every shard has folded the start of this agent incarnation.
    bool is_registered(process_id const& agent) const;

    /// Newest log time over all folds, in milliseconds.
    std::int64_t time_ms() const;

private:
    budget_shard_state* find_shard(std::string_view stream);
    budget_shard_state const* find_shard(std::string_view stream) const;

    hooks hooks_;
    configuration_state configuration_;
    std::vector<budget_shard_state> shards_;
};

} // namespace almondcart
