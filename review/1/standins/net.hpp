#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

/// Blocking sockets and HTTP/1.1 messages for the stand-ins.
namespace review {

/// Milliseconds since the start of the test, on the steady clock.
inline std::int64_t now_ms()
{
    using namespace std::chrono;
    static auto const start = steady_clock::now();
    return duration_cast<milliseconds>(steady_clock::now() - start).count();
}

inline std::int64_t wall_ms()
{
    using namespace std::chrono;
    return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
}

struct endpoint
{
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline sockaddr_in native(endpoint const& it)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(it.port));
    inet_pton(AF_INET, it.ip.c_str(), &address.sin_addr);
    return address;
}

/// Returns a listening socket, or -1. Port 0 takes a free one.
inline int listen_on(endpoint& it)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int const on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto address = native(it);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 ||
        listen(fd, 1024) != 0)
    {
        close(fd);
        return -1;
    }
    socklen_t size = sizeof(address);
    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
    it.port = ntohs(address.sin_port);
    return fd;
}

/// Gives a socket the segment size and the window of a connection over a wide area network. On the
/// loopback interface a connection would hold megabytes in the kernel.
inline void limit_window(int fd)
{
    constexpr int segment_bytes = 1460;
    constexpr int window_bytes = 65'536;
    setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof(segment_bytes));
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &window_bytes, sizeof(window_bytes));
}

/// Returns a connected socket, or -1.
inline int connect_to(endpoint const& it, int timeout_ms, bool is_remote = false)
{
    int const fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (is_remote)
        limit_window(fd);
    auto address = native(it);
    bool is_connected = connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0;
    if (!is_connected && errno == EINPROGRESS)
    {
        pollfd wait{fd, POLLOUT, 0};
        int error = 0;
        socklen_t size = sizeof(error);
        is_connected = poll(&wait, 1, timeout_ms) == 1 &&
                       getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
    }
    if (!is_connected)
    {
        close(fd);
        return -1;
    }
    fcntl(fd, F_SETFL, fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    int const on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline bool write_all(int fd, std::string_view data)
{
    while (!data.empty())
    {
        auto const n = send(fd, data.data(), data.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        data.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

/// Makes the next `close` of the socket a reset.
inline void reset_on_close(int fd)
{
    linger const option{1, 0};
    setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

struct message_head
{
    std::string start; ///< request line or status line
    std::vector<std::pair<std::string, std::string>> headers;

    std::string header(std::string_view name) const
    {
        for (auto const& [key, value] : headers)
        {
            if (key.size() == name.size() && strncasecmp(key.data(), name.data(), key.size()) == 0)
                return value;
        }
        return {};
    }

    /// The n-th word of the first line.
    std::string word(int n) const
    {
        std::size_t from = 0;
        for (; n > 0; --n)
            from = start.find(' ', from) + 1;
        return start.substr(from, start.find(' ', from) - from);
    }

    int status() const { return std::atoi(word(1).c_str()); }
};

enum class read_result
{
    complete,
    closed,
    timed_out,
};

/// Reads messages from a socket, with a time limit.
class message_reader
{
public:
    explicit message_reader(int fd)
        : fd_(fd)
    {}

    read_result read_head(message_head& head, std::int64_t until_ms)
    {
        for (;;)
        {
            auto const end = input_.find("\r\n\r\n");
            if (end != std::string::npos)
            {
                parse(std::string_view(input_).substr(0, end), head);
                input_.erase(0, end + 4);
                return read_result::complete;
            }
            if (auto const result = receive(until_ms); result != read_result::complete)
                return result;
        }
    }

    /// Appends the body to `body` as it arrives. `gap_ms` limits the pause between two pieces.
    read_result read_body(
        message_head const& head,
        std::string& body,
        std::int64_t until_ms,
        std::int64_t gap_ms = 1'000'000)
    {
        if (head.header("Transfer-Encoding") == "chunked")
            return read_chunks(body, until_ms, gap_ms);
        auto const length =
            static_cast<std::size_t>(std::atoll(head.header("Content-Length").c_str()));
        while (input_.size() < length)
        {
            if (auto const result = receive(until_ms); result != read_result::complete)
                return result;
        }
        body += input_.substr(0, length);
        input_.erase(0, length);
        return read_result::complete;
    }

    /// Limits the rate of reading; 0 for no limit.
    void set_pace(std::int64_t bytes_per_s) { bytes_per_s_ = bytes_per_s; }

private:
    /// Bytes of a body that are kept.
    static constexpr std::size_t body_limit = 65'536;

    static void keep(std::string& body, std::string_view data)
    {
        body += data.substr(0, body_limit - std::min(body_limit, body.size()));
    }

    static void parse(std::string_view text, message_head& head)
    {
        head = {};
        bool is_first = true;
        while (!text.empty())
        {
            auto const end = std::min(text.find("\r\n"), text.size());
            auto const line = text.substr(0, end);
            text.remove_prefix(std::min(end + 2, text.size()));
            auto const colon = line.find(':');
            if (std::exchange(is_first, false))
                head.start = line;
            else if (colon != std::string_view::npos)
            {
                auto value = line.substr(colon + 1);
                while (!value.empty() && value.front() == ' ')
                    value.remove_prefix(1);
                head.headers.emplace_back(std::string(line.substr(0, colon)), std::string(value));
            }
        }
    }

    read_result read_chunks(std::string& body, std::int64_t until_ms, std::int64_t gap_ms)
    {
        for (;;)
        {
            auto const limit_ms = std::min(until_ms, now_ms() + gap_ms);
            auto const end = input_.find("\r\n");
            if (end == std::string::npos)
            {
                if (auto const result = receive(limit_ms); result != read_result::complete)
                    return result;
                continue;
            }
            auto const size = std::strtoul(input_.c_str(), nullptr, 16);
            while (input_.size() < end + 2 + size + 2)
            {
                if (auto const result = receive(limit_ms); result != read_result::complete)
                    return result;
            }
            keep(body, std::string_view(input_).substr(end + 2, size));
            input_.erase(0, end + 2 + size + 2);
            if (size == 0)
                return read_result::complete;
        }
    }

    read_result receive(std::int64_t until_ms)
    {
        pollfd wait{fd_, POLLIN, 0};
        auto const left = until_ms - now_ms();
        if (left <= 0 || poll(&wait, 1, static_cast<int>(left)) == 0)
            return read_result::timed_out;
        char data[65536];
        auto const n = recv(fd_, data, sizeof(data), 0);
        if (n <= 0)
            return read_result::closed;
        input_.append(data, static_cast<std::size_t>(n));
        if (bytes_per_s_ > 0)
            std::this_thread::sleep_for(std::chrono::microseconds(n * 1'000'000 / bytes_per_s_));
        return read_result::complete;
    }

    int fd_;
    std::int64_t bytes_per_s_ = 0;
    std::string input_;
};

} // namespace review
