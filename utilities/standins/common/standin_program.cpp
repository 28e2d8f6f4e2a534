#include "standin_program.hpp"

#include <almondcart/core/clock.hpp>
#include <almondcart/core/json.hpp>

#include <iostream>

namespace almondcart {

standin_program::standin_program(std::string const& name)
    : options_(name)
{
    options_.add_options()("listen", "ip:port", cxxopts::value<std::string>())(
        "help", "print this help");
}

int standin_program::run(int argc, char const* const* argv, create_function const& create)
{
    constexpr int invalid_exit_code = 2;
    try
    {
        auto const arguments = options_.parse(argc, argv);
        if (arguments.count("help") > 0)
        {
            std::cout << options_.help();
            return 0;
        }
        event_loop loop;
        auto server = http_server::create(
            loop,
            {.address = arguments["listen"].as<std::string>(),
             .limiter = std::make_shared<connection_limiter>(
                 connection_limits::derive(0, 0), system_clock_source::create())});
        if (!server.ok())
        {
            std::cerr << server.status().message() << '\n';
            return invalid_exit_code;
        }
        auto const standin = create(loop, **server, arguments);
        loop.on_stop_signal([&loop] { loop.stop(); });
        std::cout << (*server)->address() << std::endl;
        loop.run();
        return 0;
    }
    catch (cxxopts::exceptions::exception const& error)
    {
        std::cerr << error.what() << '\n' << options_.help();
        return invalid_exit_code;
    }
}

void respond_json(http_exchange& exchange, int status, Json::Value const& value)
{
    exchange.respond_text(status, "application/json", to_compact_json(value));
}

Json::Value read_json_object(http_exchange& exchange)
{
    auto value = parse_json(exchange.body());
    if (value.ok() && value->isObject())
        return *std::move(value);
    Json::Value error;
    error["error"] = "expected a JSON object";
    respond_json(exchange, 400, error);
    return {};
}

} // namespace almondcart
