#pragma once

#include <json/json.h>

namespace almondcart::bench {

/// Heartbeat messages as JSON-RPC calls and results.
Json::Value create_heartbeat_call(int agent);
Json::Value create_heartbeat_result();
Json::Value create_peer_heartbeat_call(int router);
Json::Value create_peer_heartbeat_result(int router);

/// Size of each record type as JSON text, and the processor time to write and to parse it.
Json::Value measure_records();

/// The same for the messages between processes, as JSON-RPC bodies without HTTP headers.
Json::Value measure_messages();

} // namespace almondcart::bench
