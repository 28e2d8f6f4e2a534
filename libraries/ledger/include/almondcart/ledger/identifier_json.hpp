#pragma once

#include <almondcart/core/identifiers.hpp>
#include <almondcart/core/json_reader.hpp>

#include <optional>
#include <string_view>
#include <vector>

/// Reading of identifiers in their text forms. A malformed one is an error of the reader, and an
/// empty identifier is returned.
namespace almondcart::detail {

budget_id read_budget_id(json_reader& reader, std::string_view name);
process_id read_process_id(json_reader& reader, std::string_view name);
grant_id read_grant_id(json_reader& reader, std::string_view name);
request_id read_request_id(json_reader& reader, std::string_view name);
std::vector<process_id> read_process_ids(json_reader& reader, std::string_view name);

} // namespace almondcart::detail
