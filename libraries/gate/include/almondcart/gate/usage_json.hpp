#pragma once

#include <almondcart/core/json_reader.hpp>
#include <almondcart/ledger/records.hpp>

#include <absl/status/statusor.h>
#include <json/json.h>

#include <string_view>
#include <vector>

namespace almondcart {

/// `[{"grant":"3:17","tokens":40}]`
Json::Value to_json(std::vector<grant_part> const& parts);

/// Reads the array of grant parts in member `name`. Errors are recorded in `reader`.
std::vector<grant_part> read_grant_parts(json_reader& reader, std::string_view name);

Json::Value to_json(std::vector<usage_item> const& items);

/// Reads the array of usage items in member `name`. Errors are recorded in `reader`.
std::vector<usage_item> read_usage_items(json_reader& reader, std::string_view name);

/// Distributes `tokens` over the reserved `grants` in order. Tokens beyond the reservation are
/// dropped, because a grant is never charged more than was reserved under it.
std::vector<grant_part>
split_over_grants(std::vector<grant_part> const& grants, token_count tokens);

} // namespace almondcart
