#pragma once

#include <json/json.h>

#include <map>
#include <string>

namespace almondcart {

/// Crashes in which a fingerprint was running: name of the upstream by crash id.
using crash_set = std::map<std::string, std::string>;

/// `{"<crash id>":"<upstream>"}`
Json::Value crash_set_to_json(crash_set const& crashes);

/// Reads that form; members that are not texts are left out.
crash_set parse_crash_set(Json::Value const& value);

} // namespace almondcart
