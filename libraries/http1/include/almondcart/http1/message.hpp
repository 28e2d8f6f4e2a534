#pragma once

#include <almondcart/http/http_headers.hpp>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondcart::http1 {

/// Request line and header lines.
struct request_head
{
    std::string method;
    std::string target; ///< path and query, as sent
    int minor_version = 1;
    http_headers headers;
};

/// Status line and header lines.
struct response_head
{
    int status = 0;
    std::string reason;
    int minor_version = 1;
    http_headers headers;
};

enum class parse_result
{
    complete,
    incomplete,
    malformed,
};

/// Parses the head at the start of `data`. On `complete`, `consumed` is its length in bytes.
parse_result parse_request_head(std::string_view data, request_head& head, std::size_t& consumed);
parse_result parse_response_head(std::string_view data, response_head& head, std::size_t& consumed);

/// How the end of a body is determined.
enum class body_framing
{
    none,
    length,
    chunked,
    until_close,
};

struct body_description
{
    body_framing framing = body_framing::none;
    std::uint64_t length = 0; ///< in bytes; valid if `framing` is `length`
};

/// Returns the framing of a request body, or nothing if the headers are ambiguous, which would
/// allow request smuggling.
std::optional<body_description> describe_request_body(request_head const& head);

/// Returns the framing of the body of a response to `request_method`, or nothing if the headers are
/// ambiguous.
std::optional<body_description>
describe_response_body(response_head const& head, std::string_view request_method);

/// Decodes a body from a byte stream: removes the chunk framing and detects the end.
class body_decoder
{
public:
    explicit body_decoder(body_description description);

    /// Decodes body bytes at the start of `data`, removes them from `data` and appends the decoded
    /// bytes to `content`.
    parse_result feed(std::string_view& data, std::string& content);

    /// Whether the body is complete if the sender closes the connection now.
    bool is_complete_at_close() const { return description_.framing == body_framing::until_close; }

private:
    parse_result feed_length(std::string_view& data, std::string& content);
    parse_result feed_chunked(std::string_view& data, std::string& content);
    parse_result read_chunk_line(std::string_view line);
    parse_result read_trailer_line(std::string_view line);

    enum class chunk_state
    {
        size_line,
        content,
        content_end,
        trailer,
    };

    body_description description_;
    std::uint64_t remaining_ = 0; ///< bytes left in the body or chunk
    chunk_state chunk_state_ = chunk_state::size_line;
    std::string line_; ///< incomplete size or trailer line
    std::size_t trailer_bytes_ = 0;
};

/// Whether a header applies to a single connection and must not be forwarded.
bool is_hop_by_hop_header(std::string_view name);

/// Whether the `Connection` header lists `token`.
bool has_connection_token(http_headers const& headers, std::string_view token);

/// Appends one "name: value" line for each header.
void append_headers(std::string& out, http_headers const& headers);

/// Returns the reason phrase of a status code, or "Unknown" if the code is not in the table.
std::string_view reason_phrase(int status);

} // namespace almondcart::http1
