#pragma once

#include <almondcart/document/service_document.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace almondcart {

/// Reads and validates a service document. Errors have the code `document_invalid` and name the
/// file and the member.
absl::StatusOr<service_document> read_document_file(std::string const& file);

} // namespace almondcart
