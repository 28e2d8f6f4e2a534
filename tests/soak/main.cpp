#include <cxxopts.hpp>

#include <iostream>

#include "soak_fleet.hpp"

namespace {

int report(almondcart::soak::soak_settings const& settings, almondcart::soak::soak_fleet const& it)
{
    auto const& checker = it.checker();
    for (auto const& violation : checker.violations())
        std::cout << "violation: " << violation << "\n";
    std::cout << "seed " << settings.seed << ": faults " << it.fault_count() << ", served "
              << checker.count(200) << ", refused " << checker.count(503) << ", exhausted "
              << checker.count(402) << ", unknown " << checker.count(502) + checker.count(504)
              << ", unanswered " << checker.count(0) << ", tokens " << checker.used_tokens()
              << " of " << checker.total_tokens() << ", violations " << checker.violations().size()
              << "\n";
    return checker.violations().empty() ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options(
        "almondcart-soak",
        "Runs gateways in front of stand-ins, injects random faults and checks the guarantees that "
        "clients and upstreams rely on.");
    options.add_options()(
        "seed", "seed of the random faults", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "seconds", "duration of the faults", cxxopts::value<int>()->default_value("10"))(
        "gateways", "number of gateway processes", cxxopts::value<int>()->default_value("3"))(
        "log-directory",
        "directory for settings and logs of the processes",
        cxxopts::value<std::string>()->default_value("/tmp"))("help", "print this help");
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
