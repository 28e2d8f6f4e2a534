#include "../common/standin_program.hpp"
#include "vmlist_standin.hpp"

int main(int argc, char** argv)
{
    using namespace almondcart;
    standin_program program("almondcart-standin-vmlist");
    program.options()(
        "lag-ms",
        "time until a change becomes visible",
        cxxopts::value<std::int64_t>()->default_value("30000"));
    return program.run(
        argc,
        argv,
        [](event_loop& loop, http_server& server, cxxopts::ParseResult const& arguments)
        {
            return std::make_shared<vmlist_standin>(
                loop, server, duration(arguments["lag-ms"].as<std::int64_t>()));
        });
}
