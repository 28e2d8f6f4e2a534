#pragma once

#include <json/json.h>

namespace almondcart::bench {

/// Create sample heartbeat messages as JSON-RPC calls and results.
Json::Value create_heartbeat_call(int agent);
Json::Value create_heartbeat_result();
Json::Value create_peer_heartbeat_call(int router);
Json::Value create_peer_heartbeat_result(int router);

/// Measures the size of each record type as JSON, and the CPU time to write and to parse it.
Json::Value measure_records();

/// Measures the messages between processes likewise, as JSON-RPC bodies without HTTP headers.
Json::Value measure_messages();

} // namespace almondcart::bench
