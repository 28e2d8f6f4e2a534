#include "../common/standin_program.hpp"
#include "service_standin.hpp"

int main(int argc, char** argv)
{
    using namespace almondcart;
    standin_program program("almondcart-standin-service");
    program.options()(
        "delay-ms", "response time per call", cxxopts::value<std::int64_t>()->default_value("0"));
    return program.run(
        argc,
        argv,
        [](event_loop& loop, http_server& server, cxxopts::ParseResult const& arguments)
        {
            return std::make_shared<service_standin>(
                loop, server, duration(arguments["delay-ms"].as<std::int64_t>()));
        });
}
