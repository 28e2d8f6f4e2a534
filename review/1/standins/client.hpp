#pragma once

#include <string>

#include "net.hpp"

namespace review {

enum class answer_end
{
    complete,
    unconnected, ///< no connection within a second
    unanswered,  ///< the connection was closed before the answer began
    cut,         ///< it was closed within the answer
    abandoned,   ///< the client gave up
};

inline char const* name_of(answer_end it)
{
    static char const* const names[] = {
        "complete", "unconnected", "unanswered", "cut", "abandoned"};
    return names[static_cast<int>(it)];
}

struct client_answer
{
    answer_end end = answer_end::unconnected;
    int status = 0;
    message_head head;
    std::string body;
    std::int64_t sent_ms = 0;
    std::int64_t ended_ms = 0;
    bool is_kept = false; ///< sent on a connection that had carried an answer before
};

struct client_request
{
    std::string method = "POST";
    std::string target;
    std::string host;
    std::string key;
    std::string id;
    std::string token_count;
    std::string prefix;
    int deadline_ms = 0;
    int gap_ms = 1'000'000; ///< longest wait for the next piece of a stream
    std::string body;
};

/// Stand-in for a client, with one connection that it keeps while it can.
class client
{
public:
    /// `bytes_per_s` is the rate of the client's line to the gateway; 0 if it is on the same
    /// network.
    explicit client(endpoint where, std::int64_t bytes_per_s = 0)
        : where_(std::move(where))
        , bytes_per_s_(bytes_per_s)
    {}
    ~client() { disconnect(); }
    client(client const&) = delete;
    client& operator=(client const&) = delete;

    client_answer ask(client_request const& request)
    {
        client_answer out;
        out.is_kept = fd_ >= 0;
        out.sent_ms = now_ms();
        if (fd_ < 0)
            connect();
        if (fd_ >= 0)
            exchange(request, out);
        out.ended_ms = now_ms();
        bool const is_reusable =
            out.end == answer_end::complete && out.head.header("Connection") != "close";
        if (!is_reusable)
            disconnect();
        return out;
    }

    void disconnect()
    {
        if (fd_ >= 0)
            close(fd_);
        fd_ = -1;
    }

private:
    void connect()
    {
        constexpr int timeout_ms = 1000;
        fd_ = connect_to(where_, timeout_ms, bytes_per_s_ > 0);
        if (fd_ < 0)
            return;
        reader_ = message_reader(fd_);
        reader_.set_pace(bytes_per_s_);
    }

    void exchange(client_request const& request, client_answer& out)
    {
        std::string text = request.method + " " + request.target +
                           " HTTP/1.1\r\nHost: " + request.host +
                           "\r\nX-Almondcart-Request-Id: " + request.id +
                           "\r\nX-Almondcart-Deadline-Ms: " + std::to_string(request.deadline_ms) +
                           "\r\nAuthorization: Bearer " + request.key + "\r\n";
        if (!request.token_count.empty())
            text += "X-Almondcart-Model: m\r\nX-Almondcart-Token-Count: " + request.token_count +
                    "\r\nX-Almondcart-Prompt-Prefix: " + request.prefix + "\r\n";
        text +=
            "Content-Length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
        auto const until_ms = out.sent_ms + request.deadline_ms;
        out.end = answer_end::unanswered;
        if (!write_all(fd_, text))
            return;
        auto const first_until_ms = std::min<std::int64_t>(until_ms, out.sent_ms + request.gap_ms);
        auto result = reader_.read_head(out.head, first_until_ms);
        if (result == read_result::complete)
        {
            out.status = out.head.status();
            result = reader_.read_body(out.head, out.body, until_ms, request.gap_ms);
            out.end = answer_end::cut;
        }
        if (result == read_result::complete)
            out.end = answer_end::complete;
        else if (result == read_result::timed_out)
            out.end = answer_end::abandoned;
    }

    endpoint where_;
    std::int64_t bytes_per_s_;
    int fd_ = -1;
    message_reader reader_{-1};
};

} // namespace review
