#pragma once

#include <json/json.h>

#include <cstdint>

namespace almondcart::bench {

/// Folds records of all types into all budget shards and measures memory, fold time per record,
/// snapshots and checkpoints with `budgets` budgets.
Json::Value measure_shards(int budgets, std::uint64_t seed);

/// One shard with `agents` registered agent incarnations, and the recovery of a grant there.
Json::Value measure_registered_agents(int agents);

} // namespace almondcart::bench
