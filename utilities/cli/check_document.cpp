#include <iostream>

#include "commands.hpp"
#include "document_file.hpp"
#include "output.hpp"

namespace almondcart {

exit_code check_document(std::string const& file)
{
    auto const document = read_document_file(file);
    if (!document.ok())
        return report_error(document.status());
    std::cout << file << ": valid document of service \"" << document->service() << "\" with "
              << document->budgets().size() << " budgets, " << document->client_accounts().size()
              << " client accounts, " << document->kinds().size() << " kinds of work and "
              << document->pools().size() << " pools\n";
    return exit_code::success;
}

} // namespace almondcart
