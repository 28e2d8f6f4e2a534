#pragma once

#include <json/json.h>

namespace almondcart::bench {

/// Measures one publish of a document with the given numbers of budgets and upstreams: its size,
/// the time to parse and apply it, and the memory and snapshot of the resulting configuration.
Json::Value measure_configuration(int budgets, int upstreams);

} // namespace almondcart::bench
