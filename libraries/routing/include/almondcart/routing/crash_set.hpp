#pragma once

#include <map>
#include <string>

namespace almondcart {

/// Crashes in which a fingerprint was running: name of the upstream by crash id.
using crash_set = std::map<std::string, std::string>;

} // namespace almondcart
