#pragma once

#include <almondcart/document/service_document.hpp>

#include <absl/status/statusor.h>

#include <string>

namespace almondcart {

/// Reads and validates a document. Errors carry `document_invalid` and name file and member.
absl::StatusOr<service_document> read_document_file(std::string const& file);

} // namespace almondcart
