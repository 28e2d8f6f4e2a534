#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/http1/client_limit.hpp>

#include <array>
#include <cstddef>
#include <string>

#include "gateway_metrics.hpp"

namespace almondcart {

/// Counts what limits turn clients away, and logs one line in ten seconds at most.
class client_limit_log
{
public:
    explicit client_limit_log(gateway_metrics& metrics);

    void record(http1::client_limit limit, std::string const& address);

    /// Logs what was recorded since the last line if one is due.
    void tick(instant now, std::size_t connections, std::size_t buffered_bytes);

private:
    static constexpr std::size_t limit_count = 5;

    gateway_metrics& metrics_;
    std::array<std::size_t, limit_count> counts_{};
    std::string last_address_;
    bool has_records_ = false;
    instant next_line_{};
};

} // namespace almondcart
