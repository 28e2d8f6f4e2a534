#include "budget_command.hpp"

#include <cxxopts.hpp>

#include <array>
#include <iostream>
#include <string_view>

namespace {

struct command
{
    std::string_view name;
    int (*run)(int, char**);
};

constexpr std::array commands = {
    command{"budget", almondcart::bench::run_budget_command},
};

int print_usage()
{
    std::cerr << "usage: almondcart-bench COMMAND --seed N [--json], where COMMAND is one of:\n";
    for (auto const& it : commands)
        std::cerr << "  " << it.name << "\n";
    return 2;
}

} // namespace

int main(int argc, char** argv)
try
{
    for (auto const& it : commands)
    {
        if (argc > 1 && it.name == argv[1])
            return it.run(argc - 1, argv + 1);
    }
    return print_usage();
}
catch (cxxopts::exceptions::exception const& error)
{
    std::cerr << "almondcart-bench: " << error.what() << "\n";
    return 2;
}
