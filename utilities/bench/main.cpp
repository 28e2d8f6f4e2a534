#include <cxxopts.hpp>

#include <array>
#include <cstdint>
#include <iostream>
#include <string>
#include <string_view>

#include "routing_bench.hpp"

namespace {

struct subcommand
{
    std::string_view name;
    int (*run)(std::uint64_t seed, bool is_json);
};

constexpr std::array subcommands{
    subcommand{"routing", almondcart::run_routing_bench},
};

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("almondcart-bench", "Measures decisions in virtual time.");
    options.positional_help("routing");
    options.add_options()("command", "what to measure", cxxopts::value<std::string>())(
        "seed", "seed of the traces", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "json", "print JSON instead of a table")("help", "print this help");
    options.parse_positional({"command"});
    try
    {
        auto const arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        auto const name = arguments["command"].as<std::string>();
        for (auto const& it : subcommands)
        {
            if (it.name == name)
                return it.run(arguments["seed"].as<std::uint64_t>(), arguments.count("json") > 0);
        }
        std::cerr << "almondcart-bench: unknown command \"" << name << "\"\n";
    }
    catch (std::exception const& error)
    {
        std::cerr << "almondcart-bench: " << error.what() << '\n';
    }
    std::cerr << options.help();
    return 2;
}
