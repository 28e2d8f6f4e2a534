#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace almondcart {

/// Header lines in order of transmission. Names compare without case.
using http_headers = std::vector<std::pair<std::string, std::string>>;

/// Value of the first header `name`, which refers into `headers`.
std::optional<std::string_view> find_header(http_headers const& headers, std::string_view name);

/// Whether two header names are equal without case (ASCII).
bool equals_ignoring_ascii_case(std::string_view left, std::string_view right);

} // namespace almondcart
