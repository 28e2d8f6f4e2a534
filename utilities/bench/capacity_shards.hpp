#pragma once

#include <json/json.h>

#include <cstdint>

namespace almondcart::bench {

/// Applies records of all types to the budget shards of a deployment with `budgets` budgets, and
/// measures memory, CPU time per record, snapshots and checkpoints.
Json::Value measure_shards(int budgets, std::uint64_t seed);

/// Measures one shard with `agents` registered agent incarnations, and the recovery of a grant in
/// it.
Json::Value measure_registered_agents(int agents);

} // namespace almondcart::bench
