#pragma once

#include <almondcart/core/json_reader.hpp>

#include <string>
#include <string_view>
#include <vector>

namespace almondcart {

/// Whether `text` is an IPv4 address with a port, for example "127.0.0.1:8080".
bool is_valid_address(std::string_view text);

/// Reads a member with a name that `is_valid_name` accepts.
std::string read_name(json_reader& reader, std::string_view member);

/// Reads a member with an address "ip:port".
std::string read_address(json_reader& reader, std::string_view member);

/// Reads a member with a log level that `set_up_logging` accepts, or returns `fallback` if it is
/// missing.
std::string
read_log_level_or(json_reader& reader, std::string_view member, std::string const& fallback);

/// Reads a member with an array of addresses "ip:port".
std::vector<std::string> read_addresses(json_reader& reader, std::string_view member);

} // namespace almondcart
