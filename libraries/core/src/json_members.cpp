#include <almondcart/core/identifiers.hpp>
#include <almondcart/core/json_members.hpp>
#include <almondcart/core/logging.hpp>

#include <absl/strings/numbers.h>
#include <arpa/inet.h>

#include <algorithm>

namespace almondcart {

namespace {

constexpr int port_limit = 65'535;
constexpr std::string_view expected_address = "an IPv4 address and port, for example "
                                              "\"127.0.0.1:8080\"";

} // namespace

bool is_valid_address(std::string_view text)
{
    auto const colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return false;
    std::string const host(text.substr(0, colon));
    std::string const port(text.substr(colon + 1));
    in_addr address{};
    int number = 0;
    return inet_pton(AF_INET, host.c_str(), &address) == 1 && absl::SimpleAtoi(port, &number) &&
           number >= 0 && number <= port_limit;
}

std::string read_name(json_reader& reader, std::string_view member)
{
    std::string name = reader.string(member);
    if (!is_valid_name(name))
        reader.fail(member, "1 to 64 characters of a-z, 0-9 and -");
    return name;
}

std::string read_address(json_reader& reader, std::string_view member)
{
    std::string address = reader.string(member);
    if (!is_valid_address(address))
        reader.fail(member, expected_address);
    return address;
}

std::string
read_log_level_or(json_reader& reader, std::string_view member, std::string const& fallback)
{
    std::string level = reader.string_or(member, fallback);
    if (!is_log_level(level))
        reader.fail(member, "\"debug\", \"info\", \"warning\" or \"error\"");
    return level;
}

std::vector<std::string> read_addresses(json_reader& reader, std::string_view member)
{
    std::vector<std::string> addresses = reader.strings(member);
    if (!std::ranges::all_of(addresses, is_valid_address))
        reader.fail(member, expected_address);
    return addresses;
}

} // namespace almondcart
