#include <almondcart/core/logging.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/http/event_loop.hpp>

#include <cxxopts.hpp>

#include <iostream>

#include "router.hpp"
#include "router_settings.hpp"

namespace {

constexpr int exit_invalid_settings = 2;

int report(absl::Status const& status)
{
    std::cerr << "almondcart-router: " << almondcart::message_of(status) << "\n";
    return exit_invalid_settings;
}

} // namespace

int main(int argc, char** argv)
{
    almondcart::hold_control_signals();
    cxxopts::Options options(
        "almondcart-router", "Serves clients on prepaid token budgets; see docs/configuration.md.");
    options.add_options()("settings", "JSON settings file", cxxopts::value<std::string>())(
        "help", "print this help");
    try
    {
        auto const parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help() << "\nExample: almondcart-router --settings router.json\n";
            return 0;
        }
        auto settings = almondcart::router_settings::load(parsed["settings"].as<std::string>());
        if (!settings.ok())
            return report(settings.status());
        if (auto const status = almondcart::set_up_logging(settings->name, settings->log_level);
            !status.ok())
            return report(status);
        auto const router = almondcart::router::create(*std::move(settings));
        if (!router.ok())
            return report(router.status());
        (*router)->run();
        return 0;
    }
    catch (cxxopts::exceptions::exception const& error)
    {
        std::cerr << "almondcart-router: " << error.what() << "\n" << options.help();
        return exit_invalid_settings;
    }
}
