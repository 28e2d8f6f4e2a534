#include "document_file.hpp"

#include <almondcart/core/settings_file.hpp>
#include <almondcart/core/status.hpp>

namespace almondcart {

absl::StatusOr<service_document> read_document_file(std::string const& file)
{
    auto const value = read_settings_file(file);
    if (!value.ok())
        return make_status(result_code::document_invalid, message_of(value.status()));
    return service_document::parse(*value, file);
}

} // namespace almondcart
