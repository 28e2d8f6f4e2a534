#pragma once

#include <json/json.h>

namespace almondcart::bench {

/// One second of heartbeats as one router and one agent see it, among this many of each: messages,
/// bytes of bodies without HTTP headers, and processor time to create, parse and apply them.
Json::Value measure_control(int routers, int agents);

} // namespace almondcart::bench
