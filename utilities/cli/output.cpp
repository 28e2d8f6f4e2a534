#include "output.hpp"

#include <almondcart/core/status.hpp>

#include <iostream>

namespace almondcart {

exit_code report_error(absl::Status const& status)
{
    auto const code = code_of(status);
    std::cerr << "error " << static_cast<int>(code) << " " << name_of(code) << ": "
              << status.message() << "\n";
    switch (code)
    {
    case result_code::publish_conflict:
    case result_code::document_invalid:
    case result_code::malformed_request:
        return exit_code::refused;
    case result_code::invalid_settings:
        return exit_code::usage;
    default:
        return exit_code::unreachable;
    }
}

} // namespace almondcart
