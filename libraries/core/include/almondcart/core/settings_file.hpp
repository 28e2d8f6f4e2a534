#pragma once

#include <absl/status/statusor.h>
#include <json/json.h>

#include <string>

namespace almondcart {

/// Reads a settings file. Errors carry `invalid_settings` and name the file.
absl::StatusOr<Json::Value> read_settings_file(std::string const& file);

} // namespace almondcart
