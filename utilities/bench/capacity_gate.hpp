#pragma once

#include <json/json.h>

namespace almondcart::bench {

/// Measures memory and CPU time of `work_gate` per running request, frame and retained request.
Json::Value measure_gate();

} // namespace almondcart::bench
