#pragma once

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace almondcart {

/// Whether `level` is "debug", "info", "warning" or "error".
bool is_log_level(std::string_view level);

/// Writes log lines of at least `level` ("debug", "info", "warning" or "error") to standard error,
/// one line per event. Each line starts with the time, the level and the process name. The message
/// starts with the prefix of its component, for example "[budget]".
///
/// Returns `invalid_settings` for an unknown level.
absl::Status set_up_logging(std::string_view process_name, std::string_view level);

/// As `set_up_logging`, but to standard output and without ever blocking. Lines are buffered in
/// bounded memory, and dropped and counted when it is full. `flush_stdout_logging` writes them.
absl::Status set_up_stdout_logging(std::string_view process_name, std::string_view level);

/// Writes as many buffered lines as standard output accepts without blocking. Must be called
/// periodically and at the end of the process.
void flush_stdout_logging();

} // namespace almondcart
