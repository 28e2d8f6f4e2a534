#include "bounded_sink.hpp"

#include <poll.h>
#include <unistd.h>

#include <algorithm>

namespace almondcart::detail {

namespace {

/// A pipe that polls as writable accepts this many bytes without blocking.
constexpr std::size_t write_bytes = 4096;

bool is_writable(int fd)
{
    pollfd request{fd, POLLOUT, 0};
    return poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

} // namespace

bounded_sink::bounded_sink(int fd, std::size_t capacity_bytes)
    : fd_(fd)
    , capacity_bytes_(capacity_bytes)
{}

void bounded_sink::sink_it_(spdlog::details::log_msg const& message)
{
    if (buffer_.size() >= capacity_bytes_)
    {
        ++dropped_;
        ++dropped_total_;
        return;
    }
    if (dropped_ > 0)
        buffer_ += "[log] dropped lines=" + std::to_string(dropped_) + "\n";
    dropped_ = 0;
    spdlog::memory_buf_t line;
    formatter_->format(message, line);
    buffer_.append(line.data(), line.size());
}

void bounded_sink::drain()
{
    std::size_t written = 0;
    while (written < buffer_.size() && is_writable(fd_))
    {
        auto const n =
            write(fd_, buffer_.data() + written, std::min(write_bytes, buffer_.size() - written));
        if (n <= 0)
            break;
        written += static_cast<std::size_t>(n);
    }
    buffer_.erase(0, written);
}

} // namespace almondcart::detail
