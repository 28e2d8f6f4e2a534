#include <criterion/criterion.h>

#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

namespace {

std::string read_file(std::string const& path)
{
    std::ifstream stream(std::string(ALMONDCART_SOURCE_DIRECTORY) + "/" + path);
    cr_assert(stream, "cannot read %s", path.c_str());
    return {std::istreambuf_iterator<char>(stream), {}};
}

/// Returns the text of the page from a second-level heading to the next one.
std::string section_of(std::string const& page, std::string const& heading)
{
    auto const start = page.find("\n## " + heading + "\n");
    cr_assert(start != std::string::npos, "the page has no section \"%s\"", heading.c_str());
    return page.substr(start, page.find("\n## ", start + 1) - start);
}

/// Returns the names of the JSON members that the source reads with a json_reader.
std::set<std::string> members_read_by(std::string const& source)
{
    static std::regex const call(
        R"re((?:read_name|read_address|read_addresses|read_log_level_or)\(\s*reader,\s*"([a-z0-9_]+)")re"
        R"re(|reader\.(?!fail\b|has\b)\w+\(\s*"([a-z0-9_]+)")re");
    std::set<std::string> members;
    for (std::sregex_iterator it(source.begin(), source.end(), call), end; it != end; ++it)
        members.insert((*it)[1].matched ? (*it)[1].str() : (*it)[2].str());
    return members;
}

/// Checks that the section lists every member that the file reads. `minimum_count` guards against a
/// pattern that no longer matches the source.
void check_section(std::string const& file, std::string const& heading, std::size_t minimum_count)
{
    auto const members = members_read_by(read_file(file));
    cr_assert_geq(
        members.size(), minimum_count, "too few json_reader calls found in %s", file.c_str());
    auto const section = section_of(read_file("docs/configuration.md"), heading);
    for (auto const& member : members)
    {
        cr_expect(
            section.find("`" + member + "`") != std::string::npos,
            "section \"%s\" does not list member \"%s\"",
            heading.c_str(),
            member.c_str());
    }
}

} // namespace

// Guards against a member that the code reads and docs/configuration.md does not list.
Test(configuration_docs, router_settings_are_listed)
{
    check_section("services/router/router_settings.cpp", "Router settings", 13);
}

Test(configuration_docs, agent_settings_are_listed)
{
    check_section("services/agent/agent_settings.cpp", "Agent settings", 22);
}

Test(configuration_docs, gateway_settings_are_listed)
{
    check_section("services/gateway/gateway_settings.cpp", "Gateway settings", 10);
}

Test(configuration_docs, relay_settings_are_listed)
{
    check_section("services/relay/relay_settings.cpp", "Relay settings", 4);
}

Test(configuration_docs, document_members_are_listed)
{
    check_section("libraries/document/src/service_document.cpp", "Service document", 20);
}
