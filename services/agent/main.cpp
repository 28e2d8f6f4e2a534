#include <almondcart/core/logging.hpp>
#include <almondcart/http/event_loop.hpp>

#include <cxxopts.hpp>

#include <iostream>
#include <string>

#include "agent.hpp"
#include "agent_settings.hpp"

namespace {

constexpr int settings_error = 2;

int fail(std::string const& message)
{
    std::cerr << "almondcart-agent: " << message << '\n';
    return settings_error;
}

int run(std::string const& file)
{
    using namespace almondcart;
    auto settings = agent_settings::load(file);
    if (!settings.ok())
        return fail(std::string(settings.status().message()));
    if (auto const status = set_up_logging(settings->name, settings->log_level); !status.ok())
        return fail(file + ": " + std::string(status.message()));
    auto process = agent::create(*std::move(settings));
    if (!process.ok())
        return fail(std::string(process.status().message()));
    (*process)->run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    almondcart::hold_control_signals();
    cxxopts::Options options("almondcart-agent", "Admission gate beside one upstream");
    options.add_options()("settings", "JSON settings file", cxxopts::value<std::string>())(
        "help", "print this help");
    try
    {
        auto const result = options.parse(argc, argv);
        if (result.count("help") > 0)
        {
            std::cout << options.help()
                      << "\nExample: almondcart-agent --settings agent.json\n"
                         "docs/configuration.md lists the members of the settings.\n";
            return 0;
        }
        if (result.count("settings") == 0)
            return fail("missing option --settings FILE");
        return run(result["settings"].as<std::string>());
    }
    catch (cxxopts::exceptions::exception const& error)
    {
        return fail(error.what());
    }
}
