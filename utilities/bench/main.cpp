#include <cxxopts.hpp>

#include <array>
#include <cstdint>
#include <iostream>
#include <string>
#include <string_view>

#include "bench_options.hpp"
#include "budget_bench.hpp"
#include "capacity_bench.hpp"
#include "routing_bench.hpp"

namespace {

using almondcart::bench_options;

struct subcommand
{
    std::string_view name;
    int (*run)(bench_options const& options);
};

constexpr std::array subcommands{
    subcommand{"budget", almondcart::run_budget_bench},
    subcommand{"capacity", almondcart::run_capacity_bench},
    subcommand{
        "routing",
        [](bench_options const& options)
        { return almondcart::run_routing_bench(options.seed, options.is_json); }},
};

cxxopts::Options create_options()
{
    cxxopts::Options options(
        "almondcart-bench",
        "Benchmarks budget and routing policies in virtual time, and capacity.");
    options.positional_help("budget|routing|capacity");
    auto add = options.add_options();
    add("command", "benchmark to run", cxxopts::value<std::string>());
    add("seed", "seed of the random traces", cxxopts::value<std::uint64_t>()->default_value("1"));
    add("json", "print JSON instead of a table");
    add("routers", "budget: number of routers", cxxopts::value<int>()->default_value("3"));
    add("scenario",
        "budget: run only this scenario",
        cxxopts::value<std::string>()->default_value(""));
    add("policy", "budget: run only this policy", cxxopts::value<std::string>()->default_value(""));
    add("help", "print this help");
    options.parse_positional({"command"});
    return options;
}

bench_options read_options(cxxopts::ParseResult const& arguments)
{
    return {
        arguments["seed"].as<std::uint64_t>(),
        arguments.count("json") > 0,
        arguments["routers"].as<int>(),
        arguments["scenario"].as<std::string>(),
        arguments["policy"].as<std::string>()};
}

} // namespace

int main(int argc, char** argv)
{
    auto options = create_options();
    try
    {
        auto const arguments = options.parse(argc, argv);
        if (arguments.count("help") > 0)
        {
            std::cout << options.help();
            return 0;
        }
        auto const name = arguments["command"].as<std::string>();
        for (auto const& candidate : subcommands)
        {
            if (candidate.name == name)
                return candidate.run(read_options(arguments));
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
