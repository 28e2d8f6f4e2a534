#pragma once

#include <json/json.h>

#include <string>
#include <utility>
#include <vector>

#include "tcp.hpp"

namespace almondcart::test_support {

struct call_request
{
    std::string method = "GET";
    std::string path;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

struct call_response
{
    int status = 0; ///< 0 if there was no response head
    std::string headers;
    std::string body;         ///< without the chunked coding
    bool is_complete = false; ///< the connection was not closed within the body

    /// Null if the body is not JSON.
    Json::Value json() const;
    /// Code of a refusal, or 0 if the response is not a refusal.
    int code() const;
    /// Member `ran` of a refusal.
    std::string ran() const;
    /// Text of a chat completion, whole or streamed.
    std::string text() const;
};

/// One blocking HTTP/1.1 exchange on its own connection.
class http_call
{
public:
    http_call(std::string const& address, call_request const& request);

    /// Reads until the body contains the text. Returns false if the response ends first.
    bool read_until(std::string const& text);
    /// Reads until the connection is closed and returns the response.
    call_response finish();

private:
    bool read_more();
    call_response parse() const;

    tcp_socket socket_;
    std::string received_;
};

call_response fetch(std::string const& address, call_request const& request);

} // namespace almondcart::test_support
