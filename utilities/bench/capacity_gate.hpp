#pragma once

#include <json/json.h>

namespace almondcart::bench {

/// Memory and processor time of `work_gate` per running request, frame and retained request.
Json::Value measure_gate();

} // namespace almondcart::bench
