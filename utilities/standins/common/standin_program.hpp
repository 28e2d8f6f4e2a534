#pragma once

#include <almondcart/http/http_server.hpp>

#include <cxxopts.hpp>
#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace almondcart {

/// Command line and main loop that all stand-ins share: `--listen ip:port`, the address on one line
/// of standard output when ready, and an end on SIGTERM or SIGINT.
class standin_program
{
public:
    /// Creates the stand-in on its server; the result is kept until the end.
    using create_function = std::function<std::shared_ptr<
        void>(event_loop& loop, http_server& server, cxxopts::ParseResult const& arguments)>;

    explicit standin_program(std::string const& name);

    cxxopts::OptionAdder options() { return options_.add_options(); }

    /// Exit code: 0 after a stop signal, 2 for an invalid command line or address.
    int run(int argc, char const* const* argv, create_function const& create);

private:
    cxxopts::Options options_;
};

/// Responds with `value` as JSON.
void respond_json(http_exchange& exchange, int status, Json::Value const& value);

/// Body as a JSON object; otherwise responds 400 and returns null.
Json::Value read_json_object(http_exchange& exchange);

} // namespace almondcart
