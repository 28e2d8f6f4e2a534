#pragma once

#include <almondcart/core/event_journal.hpp>
#include <almondcart/http/http_headers.hpp>

#include <string_view>

namespace almondcart {

/// Header that carries the sender's logical time in requests and responses between processes.
inline constexpr std::string_view logical_time_header = "Almondcart-Logical-Time";

/// Adds the journal's logical time to the headers of a message to be sent.
void add_logical_time(http_headers& headers, event_journal const& journal);

/// Passes the logical time of a received message, if it has one, to the journal.
void observe_logical_time(http_headers const& headers, event_journal& journal);

} // namespace almondcart
