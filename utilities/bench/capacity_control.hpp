#pragma once

#include <json/json.h>

namespace almondcart::bench {

/// Measures one second of heartbeats at one router and at one agent of a fleet of the given size:
/// messages, bytes of bodies without HTTP headers, and CPU time to create, parse and apply them.
Json::Value measure_control(int routers, int agents);

} // namespace almondcart::bench
