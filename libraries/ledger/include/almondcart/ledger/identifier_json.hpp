#pragma once

#include <almondcart/core/identifiers.hpp>
#include <almondcart/core/json_reader.hpp>

#include <optional>
#include <string_view>
#include <vector>

/// Readers of identifiers in text form. A malformed identifier sets an error on the reader and
/// reads as an empty one.
namespace almondcart::detail {

budget_id read_budget_id(json_reader& reader, std::string_view name);
process_id read_process_id(json_reader& reader, std::string_view name);
grant_id read_grant_id(json_reader& reader, std::string_view name);
request_id read_request_id(json_reader& reader, std::string_view name);
std::vector<process_id> read_process_ids(json_reader& reader, std::string_view name);

} // namespace almondcart::detail
