#include <almondcart/core/logging.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/http/event_loop.hpp>

#include <cxxopts.hpp>

#include <iostream>

#include "gateway.hpp"
#include "heap_release.hpp"

namespace {

constexpr int exit_invalid_settings = 2;

int report(absl::Status const& status)
{
    std::cerr << "almondcart-gateway: " << almondcart::message_of(status) << "\n";
    return exit_invalid_settings;
}

int run(std::string const& file, bool is_check)
{
    auto settings = almondcart::gateway_settings::load(file);
    if (!settings.ok())
        return report(settings.status());
    if (is_check)
    {
        std::cout << file << ": valid\n";
        return 0;
    }
    if (auto const status = almondcart::set_up_stdout_logging(settings->name, settings->log_level);
        !status.ok())
        return report(status);
    auto const gateway = almondcart::gateway::create(*std::move(settings), file);
    if (!gateway.ok())
        return report(gateway.status());
    (*gateway)->run();
    almondcart::flush_stdout_logging();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    almondcart::hold_control_signals();
    almondcart::set_up_heap();
    cxxopts::Options options(
        "almondcart-gateway",
        "Forwards client requests to upstreams within prepaid token budgets; see "
        "docs/configuration.md.");
    options.add_options()("settings", "JSON settings file", cxxopts::value<std::string>())(
        "check", "check the settings file and exit")("help", "print this help");
    try
    {
        auto const parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help()
                      << "\nExample: almondcart-gateway --settings gateway.json\n";
            return 0;
        }
        return run(parsed["settings"].as<std::string>(), parsed.count("check") > 0);
    }
    catch (cxxopts::exceptions::exception const& error)
    {
        std::cerr << "almondcart-gateway: " << error.what() << "\n" << options.help();
        return exit_invalid_settings;
    }
}
