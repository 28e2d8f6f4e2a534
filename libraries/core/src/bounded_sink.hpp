#pragma once

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <cstddef>
#include <cstdint>
#include <string>

namespace almondcart::detail {

/// Log sink that never blocks. Lines are buffered until `drain` writes them. While the buffer is
/// full, lines are dropped, and the next line that fits is preceded by their number.
class bounded_sink : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    static constexpr std::size_t default_capacity_bytes = std::size_t{256} * 1024;

    explicit bounded_sink(int fd, std::size_t capacity_bytes = default_capacity_bytes);

    /// Writes as much of the buffer as `fd` accepts without blocking.
    void drain();

    std::uint64_t dropped_count() const { return dropped_total_; }

protected:
    void sink_it_(spdlog::details::log_msg const& message) override;
    void flush_() override { drain(); }

private:
    int fd_;
    std::size_t capacity_bytes_;
    std::string buffer_;
    std::uint64_t dropped_ = 0; ///< since the last buffered line
    std::uint64_t dropped_total_ = 0;
};

} // namespace almondcart::detail
