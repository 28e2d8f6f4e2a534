#include <almondcart/http/logical_time.hpp>

#include <absl/strings/numbers.h>

#include <cstdint>
#include <string>

namespace almondcart {

void add_logical_time(http_headers& headers, event_journal const& journal)
{
    headers.emplace_back(logical_time_header, std::to_string(journal.logical_time()));
}

void observe_logical_time(http_headers const& headers, event_journal& journal)
{
    auto const text = find_header(headers, logical_time_header);
    std::uint64_t time = 0;
    if (text && absl::SimpleAtoi(std::string(*text), &time))
        journal.observe(time);
}

} // namespace almondcart
