#include "../common/standin_program.hpp"
#include "log_standin.hpp"

int main(int argc, char** argv)
{
    using namespace almondcart;
    standin_program program("almondcart-standin-log");
    program.options()(
        "retention-ms",
        "maximum age of records, 0 for no expiry",
        cxxopts::value<std::int64_t>()->default_value("0"))(
        "retention-count",
        "records kept per stream, 0 for all",
        cxxopts::value<std::size_t>()->default_value("0"));
    return program.run(
        argc,
        argv,
        [](event_loop& loop, http_server& server, cxxopts::ParseResult const& arguments)
        {
            return std::make_shared<log_standin>(
                loop,
                server,
                log_standin_settings{
                    arguments["retention-ms"].as<std::int64_t>(),
                    arguments["retention-count"].as<std::size_t>(),
                    {}});
        });
}
