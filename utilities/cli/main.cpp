#include <cxxopts.hpp>

#include <iostream>
#include <string>
#include <string_view>
#include <vector>

#include "commands.hpp"

namespace {

using almondcart::exit_code;

constexpr std::string_view usage_text =
    R"(almondcart: manages a fleet of routers for prepaid token budgets

Usage:
  almondcart check FILE
  almondcart publish FILE --router IP:PORT [--wait] [--base-version N] [--author NAME]
  almondcart status --router IP:PORT [--json]
  almondcart timeline --router IP:PORT [--request KEY] [--budget ID] [--upstream NAME]
                      [--format text|json|html]
  almondcart tokens LOG...

--router is the peer_listen address of any router. LOG is the output of a gateway, or - for standard
input.

Examples:
  almondcart check examples/sandshare.json
  almondcart publish examples/sandshare.json --router 127.0.0.1:7101 --wait
  almondcart timeline --router 127.0.0.1:7101 --request order-0001 --format html > line.html

Exit codes: 0 success, 1 the document is invalid or rejected, 2 invalid command line,
3 no response from the fleet or the log in time.
)";

exit_code run(std::string const& command, cxxopts::ParseResult const& options)
{
    auto const text = [&options](char const* name) { return options[name].as<std::string>(); };
    auto const file = [&options] { return options["file"].as<std::vector<std::string>>().front(); };
    if (command == "check")
        return almondcart::check_document(file());
    if (command == "tokens")
        return almondcart::show_tokens(options["file"].as<std::vector<std::string>>());
    almondcart::fleet_client client;
    if (command == "publish")
    {
        almondcart::publish_options publish;
        publish.file = file();
        publish.router = text("router");
        publish.author = text("author");
        publish.base_version = options["base-version"].as<std::int64_t>();
        publish.should_wait = options["wait"].as<bool>();
        return almondcart::publish_document(client, publish);
    }
    if (command == "status")
        return almondcart::show_status(client, text("router"), options["json"].as<bool>());
    almondcart::timeline_options timeline;
    timeline.router = text("router");
    timeline.request = text("request");
    timeline.budget = text("budget");
    timeline.upstream = text("upstream");
    timeline.format = text("format");
    return almondcart::show_timeline(client, timeline);
}

bool has_required_arguments(std::string const& command, cxxopts::ParseResult const& options)
{
    bool const has_file = options.count("file") > 0;
    bool const has_router = options.count("router") > 0;
    if (command == "check" || command == "tokens")
        return has_file;
    if (command == "publish")
        return has_file && has_router;
    return (command == "status" || command == "timeline") && has_router;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("almondcart");
    options.add_options()("command", "", cxxopts::value<std::string>()->default_value(""))(
        "file", "", cxxopts::value<std::vector<std::string>>())(
        "router", "", cxxopts::value<std::string>())(
        "author", "", cxxopts::value<std::string>()->default_value(""))(
        "base-version", "", cxxopts::value<std::int64_t>()->default_value("-1"))(
        "wait", "", cxxopts::value<bool>()->default_value("false"))(
        "json", "", cxxopts::value<bool>()->default_value("false"))(
        "request", "", cxxopts::value<std::string>()->default_value(""))(
        "budget", "", cxxopts::value<std::string>()->default_value(""))(
        "upstream", "", cxxopts::value<std::string>()->default_value(""))(
        "format", "", cxxopts::value<std::string>()->default_value("text"))("help", "");
    options.parse_positional({"command", "file"});
    try
    {
        auto const parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << usage_text;
            return 0;
        }
        auto const command = parsed["command"].as<std::string>();
        if (!has_required_arguments(command, parsed))
        {
            std::cerr << usage_text;
            return static_cast<int>(exit_code::usage);
        }
        return static_cast<int>(run(command, parsed));
    }
    catch (cxxopts::exceptions::exception const& error)
    {
        std::cerr << "error: " << error.what() << "\n\n" << usage_text;
        return static_cast<int>(exit_code::usage);
    }
}
