#pragma once

#include <almondcart/http/http_server.hpp>

#include <cxxopts.hpp>
#include <json/json.h>

#include <functional>
#include <memory>
#include <string>

namespace almondcart {

/// Command line and main loop shared by the stand-in servers. Takes `--listen ip:port`, prints the
/// bound address on one line of standard output once the server accepts connections, and exits on
/// SIGTERM or SIGINT.
class standin_program
{
public:
    /// Creates the stand-in and registers its routes on the server. The result is kept alive while
    /// the event loop runs.
    using create_function = std::function<std::shared_ptr<
        void>(event_loop& loop, http_server& server, cxxopts::ParseResult const& arguments)>;

    explicit standin_program(std::string const& name);

    cxxopts::OptionAdder options() { return options_.add_options(); }

    /// Returns the exit code: 0 after a stop signal, 2 for an invalid command line or address.
    int run(int argc, char const* const* argv, create_function const& create);

private:
    cxxopts::Options options_;
};

/// Sends `value` as a compact JSON response.
void respond_json(http_exchange& exchange, int status, Json::Value const& value);

/// Parses the request body as a JSON object. Responds 400 and returns null if it is not one.
Json::Value read_json_object(http_exchange& exchange);

} // namespace almondcart
