#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace almondcart {

/// Header lines in order of transmission. Names are compared case-insensitively.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first header `name` as a view into `headers`.
std::optional<std::string_view> find_header(http_headers const& headers, std::string_view name);

/// Whether two header names are equal, ignoring the case of ASCII letters.
bool equals_ignoring_ascii_case(std::string_view left, std::string_view right);

} // namespace almondcart
