#include <almondcart/core/text.hpp>
#include <almondcart/http/response_status.hpp>
#include <almondcart/http1/message.hpp>

#include <algorithm>
#include <array>

// picohttpparser is part of libh2o, which exports these functions but installs no header for them.
extern "C" {
struct phr_header
{
    char const* name;
    std::size_t name_len;
    char const* value;
    std::size_t value_len;
};
int phr_parse_request(
    char const* buf,
    std::size_t len,
    char const** method,
    std::size_t* method_len,
    char const** path,
    std::size_t* path_len,
    int* minor_version,
    phr_header* headers,
    std::size_t* num_headers,
    std::size_t last_len);
int phr_parse_response(
    char const* buf,
    std::size_t len,
    int* minor_version,
    int* status,
    char const** msg,
    std::size_t* msg_len,
    phr_header* headers,
    std::size_t* num_headers,
    std::size_t last_len);
}

namespace almondcart::http1 {

namespace {

constexpr std::size_t header_count_limit = 100;
constexpr int parser_incomplete = -2;

/// Maximum length of a chunk size or trailer line, in bytes.
constexpr std::size_t chunk_line_limit = 4096;

/// Maximum length of all trailer lines, in bytes.
constexpr std::size_t trailer_limit = std::size_t{64} * 1024;

using header_array = std::array<phr_header, header_count_limit>;

/// Copies parsed headers. Returns false for a folded line, which parsers interpret differently.
bool copy_headers(header_array const& parsed, std::size_t n, http_headers& headers)
{
    headers.clear();
    headers.reserve(n);
    for (std::size_t i = 0; i < n; ++i)
    {
        auto const& it = parsed[i];
        if (it.name == nullptr)
            return false;
        headers.emplace_back(
            std::string(it.name, it.name_len), std::string(it.value, it.value_len));
    }
    return true;
}

parse_result finish_head(int parsed, bool is_valid, std::size_t& consumed)
{
    if (parsed == parser_incomplete)
        return parse_result::incomplete;
    if (parsed < 0 || !is_valid)
        return parse_result::malformed;
    consumed = static_cast<std::size_t>(parsed);
    return parse_result::complete;
}

/// Reads the framing headers. Returns false if they are invalid or contradict each other.
bool read_framing(http_headers const& headers, body_description& description, bool& has_framing)
{
    bool has_length = false;
    bool is_chunked = false;
    for (auto const& [name, value] : headers)
    {
        if (equals_ignoring_ascii_case(name, "content-length"))
        {
            auto const length = parse_integer<std::uint64_t>(value);
            if (!length || (has_length && *length != description.length))
                return false;
            has_length = true;
            description.length = *length;
        }
        else if (equals_ignoring_ascii_case(name, "transfer-encoding"))
        {
            if (is_chunked || !equals_ignoring_ascii_case(value, "chunked"))
                return false;
            is_chunked = true;
        }
    }
    if (has_length && is_chunked)
        return false;
    has_framing = has_length || is_chunked;
    if (has_length)
        description.framing = body_framing::length;
    if (is_chunked)
        description.framing = body_framing::chunked;
    return true;
}

} // namespace

parse_result parse_request_head(std::string_view data, request_head& head, std::size_t& consumed)
{
    header_array headers;
    std::size_t n = headers.size();
    char const* method = nullptr;
    char const* path = nullptr;
    std::size_t method_length = 0;
    std::size_t path_length = 0;
    int const parsed = phr_parse_request(
        data.data(),
        data.size(),
        &method,
        &method_length,
        &path,
        &path_length,
        &head.minor_version,
        headers.data(),
        &n,
        0);
    bool is_valid = parsed >= 0;
    if (is_valid)
    {
        head.method.assign(method, method_length);
        head.target.assign(path, path_length);
        is_valid = copy_headers(headers, n, head.headers);
    }
    return finish_head(parsed, is_valid, consumed);
}

parse_result parse_response_head(std::string_view data, response_head& head, std::size_t& consumed)
{
    header_array headers;
    std::size_t n = headers.size();
    char const* reason = nullptr;
    std::size_t reason_length = 0;
    int const parsed = phr_parse_response(
        data.data(),
        data.size(),
        &head.minor_version,
        &head.status,
        &reason,
        &reason_length,
        headers.data(),
        &n,
        0);
    bool is_valid = parsed >= 0 && (is_interim_status(head.status) || is_final_status(head.status));
    if (is_valid)
    {
        head.reason.assign(reason, reason_length);
        is_valid = copy_headers(headers, n, head.headers);
    }
    return finish_head(parsed, is_valid, consumed);
}

std::optional<body_description> describe_request_body(request_head const& head)
{
    body_description description;
    bool has_framing = false;
    if (!read_framing(head.headers, description, has_framing))
        return std::nullopt;
    return description;
}

std::optional<body_description>
describe_response_body(response_head const& head, std::string_view request_method)
{
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    body_description description;
    bool has_framing = false;
    if (!read_framing(head.headers, description, has_framing))
        return std::nullopt;
    if (request_method == "HEAD" || head.status == no_content || head.status == not_modified)
        return body_description{};
    if (!has_framing)
        description.framing = body_framing::until_close;
    return description;
}

body_decoder::body_decoder(body_description description)
    : description_(description)
    , remaining_(description.length)
{}

parse_result body_decoder::feed(std::string_view& data, std::string& content)
{
    switch (description_.framing)
    {
    case body_framing::none:
        return parse_result::complete;
    case body_framing::length:
        return feed_length(data, content);
    case body_framing::chunked:
        return feed_chunked(data, content);
    case body_framing::until_close:
        content += data;
        data = {};
        return parse_result::incomplete;
    }
    return parse_result::malformed;
}

parse_result body_decoder::feed_length(std::string_view& data, std::string& content)
{
    auto const n = static_cast<std::size_t>(std::min<std::uint64_t>(remaining_, data.size()));
    content += data.substr(0, n);
    data.remove_prefix(n);
    remaining_ -= n;
    return remaining_ == 0 ? parse_result::complete : parse_result::incomplete;
}

parse_result body_decoder::feed_chunked(std::string_view& data, std::string& content)
{
    while (!data.empty())
    {
        if (chunk_state_ == chunk_state::content)
        {
            if (feed_length(data, content) == parse_result::complete)
                chunk_state_ = chunk_state::content_end;
            continue;
        }
        auto const end = data.find('\n');
        line_ += data.substr(0, end);
        if (line_.size() > chunk_line_limit)
            return parse_result::malformed;
        if (end == std::string_view::npos)
        {
            data = {};
            return parse_result::incomplete;
        }
        data.remove_prefix(end + 1);
        if (line_.empty() || line_.back() != '\r')
            return parse_result::malformed;
        line_.pop_back();
        auto const result = read_chunk_line(line_);
        line_.clear();
        if (result != parse_result::incomplete)
            return result;
    }
    return parse_result::incomplete;
}

parse_result body_decoder::read_chunk_line(std::string_view line)
{
    if (chunk_state_ == chunk_state::trailer)
        return read_trailer_line(line);
    if (chunk_state_ == chunk_state::content_end)
    {
        chunk_state_ = chunk_state::size_line;
        return line.empty() ? parse_result::incomplete : parse_result::malformed;
    }
    constexpr int hexadecimal = 16;
    auto const size =
        parse_integer<std::uint32_t>(trim(line.substr(0, line.find(';'))), hexadecimal);
    if (!size)
        return parse_result::malformed;
    remaining_ = *size;
    chunk_state_ = remaining_ == 0 ? chunk_state::trailer : chunk_state::content;
    return parse_result::incomplete;
}

parse_result body_decoder::read_trailer_line(std::string_view line)
{
    if (line.empty())
        return parse_result::complete;
    trailer_bytes_ += line.size();
    return trailer_bytes_ <= trailer_limit ? parse_result::incomplete : parse_result::malformed;
}

bool is_hop_by_hop_header(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> names{
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade"};
    return std::any_of(
        names.begin(),
        names.end(),
        [&](std::string_view it) { return equals_ignoring_ascii_case(it, name); });
}

bool has_connection_token(http_headers const& headers, std::string_view token)
{
    for (auto const& [name, value] : headers)
    {
        if (!equals_ignoring_ascii_case(name, "connection"))
            continue;
        for (auto const it : split(value, ','))
        {
            if (equals_ignoring_ascii_case(trim(it), token))
                return true;
        }
    }
    return false;
}

void append_headers(std::string& out, http_headers const& headers)
{
    for (auto const& [name, value] : headers)
    {
        out += name;
        out += ": ";
        out += value;
        out += "\r\n";
    }
}

std::string_view reason_phrase(int status)
{
    struct entry
    {
        int status;
        std::string_view reason;
    };
    static constexpr std::array<entry, 17> table{{
        {200, "OK"},
        {400, "Bad Request"},
        {401, "Unauthorized"},
        {402, "Payment Required"},
        {403, "Forbidden"},
        {404, "Not Found"},
        {405, "Method Not Allowed"},
        {408, "Request Timeout"},
        {413, "Content Too Large"},
        {421, "Misdirected Request"},
        {429, "Too Many Requests"},
        {431, "Request Header Fields Too Large"},
        {500, "Internal Server Error"},
        {501, "Not Implemented"},
        {502, "Bad Gateway"},
        {503, "Service Unavailable"},
        {504, "Gateway Timeout"},
    }};
    auto const it = std::find_if(
        table.begin(), table.end(), [&](entry const& row) { return row.status == status; });
    return it == table.end() ? "Unknown" : it->reason;
}

} // namespace almondcart::http1
