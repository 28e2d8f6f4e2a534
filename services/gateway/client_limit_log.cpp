#include "client_limit_log.hpp"

#include <spdlog/spdlog.h>

namespace almondcart {

namespace {

constexpr duration line_interval{10'000};

} // namespace

client_limit_log::client_limit_log(gateway_metrics& metrics)
    : metrics_(metrics)
{}

void client_limit_log::record(http1::client_limit limit, std::string const& address)
{
    ++counts_.at(static_cast<std::size_t>(limit));
    has_records_ = true;
    last_address_ = address;
    metrics_.count_client_limit(http1::name_of(limit));
}

void client_limit_log::tick(instant now, std::size_t connections, std::size_t buffered_bytes)
{
    if (!has_records_ || now < next_line_)
        return;
    std::string text;
    for (std::size_t i = 0; i < limit_count; ++i)
    {
        if (counts_.at(i) > 0)
            text += fmt::format(
                " {}={}", http1::name_of(static_cast<http1::client_limit>(i)), counts_.at(i));
    }
    spdlog::warn(
        "[clients] limits reached:{} last_address={} connections={} buffered_bytes={}",
        text,
        last_address_,
        connections,
        buffered_bytes);
    counts_ = {};
    has_records_ = false;
    next_line_ = now + line_interval;
}

} // namespace almondcart
