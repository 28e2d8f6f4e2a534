#pragma once

#include <absl/status/statusor.h>
#include <json/json.h>

#include <string>
#include <string_view>

namespace almondcart {

/// Parses one strict JSON text. Errors carry `malformed_request` and the position in the text.
absl::StatusOr<Json::Value> parse_json(std::string_view text);

/// Writes `value` on one line without a trailing newline.
std::string to_compact_json(Json::Value const& value);

} // namespace almondcart
