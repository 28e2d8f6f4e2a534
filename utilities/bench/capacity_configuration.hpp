#pragma once

#include <json/json.h>

namespace almondcart::bench {

/// One publish of a document with these numbers of budgets and upstreams: its size, the time to
/// fold it, and the memory and snapshot of the configuration after it.
Json::Value measure_configuration(int budgets, int upstreams);

} // namespace almondcart::bench
