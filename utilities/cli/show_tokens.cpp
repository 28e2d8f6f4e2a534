#include <fstream>
#include <iostream>

#include "commands.hpp"
#include "token_usage.hpp"

namespace almondcart {

namespace {

void add_lines(token_usage& usage, std::istream& in)
{
    for (std::string line; std::getline(in, line);)
        usage.add_line(line);
}

} // namespace

exit_code show_tokens(std::vector<std::string> const& files)
{
    token_usage usage;
    for (auto const& file : files)
    {
        if (file == "-")
        {
            add_lines(usage, std::cin);
            continue;
        }
        std::ifstream in(file);
        if (!in)
        {
            std::cerr << "error: " << file << ": cannot be read\n";
            return exit_code::usage;
        }
        add_lines(usage, in);
    }
    std::cout << usage.to_text();
    return exit_code::success;
}

} // namespace almondcart
