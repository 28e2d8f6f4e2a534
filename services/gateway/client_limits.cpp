#include "client_limits.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <limits>

namespace almondcart {

namespace {

constexpr std::size_t reserved_for_files = 200;

/// Descriptors for the store, other gateways, readiness checks and metrics.
constexpr std::size_t control_divisor = 8;
constexpr std::size_t min_control = 32;

constexpr std::size_t min_streams = 16;

/// Clients get two thirds of the streams. A client waiting between requests needs no upstream.
constexpr std::size_t client_numerator = 2;
constexpr std::size_t client_denominator = 3;

constexpr std::size_t overrun_divisor = 4;

/// Memory for connections: three sixteenths, of which each connection takes 8 KiB in the kernel's
/// receive buffer and 4 KiB for its objects and its first read.
constexpr double connection_share = 3.0 / 16;
constexpr std::size_t connection_bytes = std::size_t{12} * 1024;
constexpr double bytes_per_megabyte = 1e6;

std::size_t descriptor_limit(gateway_settings const& settings)
{
    constexpr std::size_t highest = 1'000'000;
    if (settings.max_descriptors > 0)
        return settings.max_descriptors;
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0)
        return highest;
    return std::min<std::size_t>(limit.rlim_cur, highest);
}

std::size_t stream_limit(std::size_t descriptors)
{
    auto const others = reserved_for_files + std::max(min_control, descriptors / control_divisor);
    return std::max(min_streams, descriptors - std::min(descriptors, others));
}

} // namespace

client_limits client_limits::of(gateway_settings const& settings)
{
    client_limits result;
    result.buffer_bytes = settings.buffer_limit_bytes();
    result.overrun_bytes = result.buffer_bytes / overrun_divisor;
    result.streams = stream_limit(descriptor_limit(settings));
    result.connections = result.streams / client_denominator * client_numerator;
    if (settings.memory_mb > 0)
        result.connections = std::min(
            result.connections,
            static_cast<std::size_t>(settings.memory_mb * bytes_per_megabyte * connection_share) /
                connection_bytes);
    return result;
}

} // namespace almondcart
