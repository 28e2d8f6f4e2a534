#include "http_call.hpp"

#include <almondcart/core/json.hpp>

#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <array>

namespace almondcart::test_support {

namespace {

constexpr std::size_t buffer_size = 16'384;

/// A response that sends nothing for this long counts as incomplete.
constexpr int receive_timeout_s = 60;

/// Decodes the chunked transfer coding. Returns whether the last chunk was present.
bool decode_chunks(std::string_view coded, std::string& body)
{
    for (;;)
    {
        auto const end = coded.find("\r\n");
        if (end == std::string_view::npos)
            return false;
        auto const size = std::stoul("0" + std::string(coded.substr(0, end)), nullptr, 16);
        coded.remove_prefix(end + 2);
        body += coded.substr(0, size);
        if (size == 0 || coded.size() < size + 2)
            return size == 0;
        coded.remove_prefix(size + 2);
    }
}

} // namespace

Json::Value call_response::json() const
{
    auto const value = parse_json(body);
    return value.ok() ? *value : Json::Value();
}

int call_response::code() const
{
    auto const value = json();
    return value.isObject() && value["code"].isInt() ? value["code"].asInt() : 0;
}

std::string call_response::ran() const
{
    auto const value = json();
    return value.isObject() ? value["ran"].asString() : "";
}

std::string call_response::text() const
{
    if (auto const value = json(); value.isObject())
        return value["choices"][0]["message"]["content"].asString();
    std::string text;
    for (std::size_t at = 0; (at = body.find("data: {", at)) != std::string::npos; ++at)
    {
        auto const begin = at + std::string_view("data: ").size();
        auto const event = parse_json(body.substr(begin, body.find('\n', begin) - begin));
        if (event.ok())
            text += (*event)["choices"][0]["delta"]["content"].asString();
    }
    return text;
}

http_call::http_call(std::string const& address, call_request const& request)
    : socket_(connect_to(address))
{
    if (!socket_.is_open())
        return;
    timeval const timeout{receive_timeout_s, 0};
    ::setsockopt(socket_.descriptor(), SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    auto text = request.method + " " + request.path + " HTTP/1.1\r\nhost: " + address +
                "\r\nconnection: close\r\n";
    for (auto const& [name, value] : request.headers)
        text += name + ": " + value + "\r\n";
    if (request.method != "GET")
        text += "content-length: " + std::to_string(request.body.size()) + "\r\n";
    text += "\r\n" + request.body;
    for (std::size_t sent = 0; sent < text.size();)
    {
        auto const n =
            ::send(socket_.descriptor(), text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            break; // A server may respond before it has read an oversized body.
        sent += static_cast<std::size_t>(n);
    }
}

bool http_call::read_more()
{
    std::array<char, buffer_size> buf{};
    auto const n = ::recv(socket_.descriptor(), buf.data(), buf.size(), 0);
    if (n > 0)
        received_.append(buf.data(), static_cast<std::size_t>(n));
    return n > 0;
}

bool http_call::read_until(std::string const& text)
{
    while (parse().body.find(text) == std::string::npos)
    {
        if (!read_more())
            return false;
    }
    return true;
}

call_response http_call::finish()
{
    while (read_more())
    {}
    return parse();
}

call_response http_call::parse() const
{
    call_response response;
    auto const head_end = received_.find("\r\n\r\n");
    if (head_end == std::string::npos)
        return response;
    response.status = std::stoi(received_.substr(received_.find(' ') + 1));
    response.headers = received_.substr(0, head_end + 2);
    std::ranges::transform(
        response.headers,
        response.headers.begin(),
        [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    auto const coded = received_.substr(head_end + 4);
    if (response.headers.find("transfer-encoding: chunked") != std::string::npos)
    {
        response.is_complete = decode_chunks(coded, response.body);
        return response;
    }
    response.body = coded;
    auto const length = response.headers.find("content-length: ");
    response.is_complete =
        length == std::string::npos ||
        std::stoul(response.headers.substr(length + std::string_view("content-length: ").size())) ==
            coded.size();
    return response;
}

call_response fetch(std::string const& address, call_request const& request)
{
    return http_call(address, request).finish();
}

} // namespace almondcart::test_support
