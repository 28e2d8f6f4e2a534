#pragma once

#include <almondcart/ledger/budget_shard_state.hpp>

#include <json/json.h>

#include <array>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace almondcart::bench {

/// All budget shards with the records prepared for them. Records are created before the
/// measurement, so that it covers their application alone.
class shard_loader
{
public:
    shard_loader();

    /// Prepares the next record of the shard and returns its offset.
    std::int64_t add(int shard, record_body body);

    /// Applies the prepared records and adds the CPU time and memory per record to `costs` as
    /// `name`.
    void apply_prepared(std::string const& name);

    std::vector<budget_shard_state> const& shards() const { return shards_; }
    Json::Value const& costs() const { return costs_; }

private:
    std::vector<budget_shard_state> shards_;
    std::array<std::int64_t, budget_shard_count> next_offsets_{};
    std::vector<std::pair<int, stored_record>> prepared_;
    std::int64_t sequence_ = 0;
    Json::Value costs_{Json::arrayValue};
};

} // namespace almondcart::bench
