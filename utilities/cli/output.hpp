#pragma once

#include <absl/status/status.h>

#include "commands.hpp"

namespace almondcart {

/// Prints "error NUMBER NAME: message" to standard error and returns the matching exit code.
exit_code report_error(absl::Status const& status);

} // namespace almondcart
