#pragma once

#include <absl/status/status.h>

#include <string>
#include <string_view>

namespace almondcart {

/// Whether `level` is "debug", "info", "warning" or "error".
bool is_log_level(std::string_view level);

/// Sends log lines to standard error, one line per event, from `level` up: "debug", "info",
/// "warning" or "error". Each line starts with the time, the level and the process name; the
/// message starts with the fixed prefix of its part, for example "[budget]".
///
/// Returns `invalid_settings` for an unknown level.
absl::Status set_up_logging(std::string_view process_name, std::string_view level);

/// As `set_up_logging`, but to standard output and without ever blocking: lines wait in bounded
/// memory, and are counted and dropped when it is full. `flush_stdout_logging` writes them.
absl::Status set_up_stdout_logging(std::string_view process_name, std::string_view level);

/// Writes waiting lines as far as standard output takes them now. To be called often, and at the
/// end of the process.
void flush_stdout_logging();

} // namespace almondcart
