#include <cxxopts.hpp>

#include <iostream>

#include "soak_fleet.hpp"

namespace {

int report(almondcart::soak::soak_settings const& settings, almondcart::soak::soak_fleet const& it)
{
    auto const& checks = it.checks();
    for (auto const& broken : checks.broken())
        std::cout << "broken " << broken << "\n";
    std::cout << "seed " << settings.seed << ": faults " << it.fault_count() << ", served "
              << checks.count(200) << ", refused " << checks.count(503) << ", exhausted "
              << checks.count(402) << ", unknown " << checks.count(502) + checks.count(504)
              << ", unanswered " << checks.count(0) << ", tokens " << checks.used_tokens() << " of "
              << checks.total_tokens() << ", broken promises " << checks.broken().size() << "\n";
    return checks.broken().empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "almondcart-soak",
        "Runs gateways before stand-ins with random faults and checks what callers and upstreams "
        "see.");
    options.add_options()(
        "seed", "chooses the faults", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "with faults", cxxopts::value<int>()->default_value("10"))(
        "gateways", "processes", cxxopts::value<int>()->default_value("3"))(
        "log-directory", "of the processes", cxxopts::value<std::string>()->default_value("/tmp"))(
        "help", "print this help");
    try
    {
        auto const parsed = options.parse(argc, argv);
        if (parsed.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        almondcart::soak::soak_settings settings;
        settings.seed = parsed["seed"].as<std::uint64_t>();
        settings.time = std::chrono::seconds(parsed["seconds"].as<int>());
        settings.gateways = parsed["gateways"].as<int>();
        settings.log_directory = parsed["log-directory"].as<std::string>();
        almondcart::soak::soak_fleet fleet(settings);
        fleet.run();
        return report(settings, fleet);
    }
    catch (std::exception const& error)
    {
        std::cerr << "almondcart-soak: " << error.what() << "\n";
        return 2;
    }
}
