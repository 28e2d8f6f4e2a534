#pragma once

#include <json/json.h>

#include <map>
#include <string>

namespace almondcart {

/// Crashes during which a fingerprint was running: upstream name by crash id.
using crash_set = std::map<std::string, std::string>;

/// `{"<crash id>":"<upstream>"}`
Json::Value crash_set_to_json(crash_set const& crashes);

/// Parses the form that `crash_set_to_json` writes. Members that are not strings are skipped.
crash_set parse_crash_set(Json::Value const& value);

} // namespace almondcart
