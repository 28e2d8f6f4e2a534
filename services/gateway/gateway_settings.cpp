#include "gateway_settings.hpp"

#include <almondcart/core/json_members.hpp>
#include <almondcart/core/settings_file.hpp>

namespace almondcart {

namespace {

constexpr double min_grace_s = 1;
constexpr double max_grace_s = 3600;

constexpr std::int64_t max_port = 65'535;
constexpr std::int64_t max_gateways = 1'000'000;

constexpr std::int64_t max_response_limit_bytes = std::int64_t{1024} * 1024 * 1024;

constexpr double max_link_mbps = 1e6;
constexpr double max_memory_mb = 1e7;

constexpr std::int64_t max_descriptors_limit = 1'000'000;

constexpr double bytes_per_megabyte = 1e6;

/// Share of the memory for buffers, and its value if the memory is not known.
constexpr double buffer_share = 0.25;
constexpr std::size_t default_buffer_limit_bytes = std::size_t{24} * 1024 * 1024;

/// Kept below the 100 topics that the platform's store supports for all its users.
constexpr std::int64_t topic_limit = 64;

} // namespace

absl::StatusOr<gateway_settings> gateway_settings::load(std::string const& file)
{
    auto const value = read_settings_file(file);
    if (!value.ok())
        return value.status();
    gateway_settings settings;
    json_reader reader(*value, file, result_code::invalid_settings);
    settings.name = read_name(reader, "name");
    settings.availability_zone = read_name(reader, "availability_zone");
    settings.listen = read_address(reader, "listen");
    settings.readiness_listen = read_address(reader, "readiness_listen");
    settings.status_listen = read_address(reader, "status_listen");
    settings.peer_listen = read_address(reader, "peer_listen");
    settings.store_address = read_address(reader, "store_address");
    settings.relay_port = static_cast<int>(reader.integer_or("relay_port", 0, max_port, 0));
    settings.load_port = static_cast<int>(reader.integer_or("load_port", 0, max_port, 0));
    settings.load_query_gateways = static_cast<int>(
        reader.integer_or("load_query_gateways", 1, max_gateways, settings.load_query_gateways));
    settings.log_level = read_log_level_or(reader, "log_level", settings.log_level);
    settings.shutdown_grace =
        std::chrono::duration_cast<duration>(std::chrono::duration<double>(reader.number_or(
            "shutdown_grace_s",
            min_grace_s,
            max_grace_s,
            std::chrono::duration<double>(settings.shutdown_grace).count())));
    settings.prepaid_topics =
        static_cast<std::size_t>(reader.integer_or("prepaid_topics", 1, topic_limit, 1));
    settings.response_limit_bytes = static_cast<std::size_t>(reader.integer_or(
        "response_limit_bytes",
        1,
        max_response_limit_bytes,
        static_cast<std::int64_t>(settings.response_limit_bytes)));
    settings.link_mbps = reader.number_or("link_mbps", 0, max_link_mbps, 0);
    settings.memory_mb = reader.number_or("memory_mb", 0, max_memory_mb, 0);
    settings.max_descriptors =
        static_cast<std::size_t>(reader.integer_or("max_descriptors", 0, max_descriptors_limit, 0));
    constexpr double percent = 100;
    constexpr std::int64_t percent_limit = 100;
    settings.retry_share = static_cast<double>(reader.integer_or(
                               "retry_percent",
                               0,
                               percent_limit,
                               static_cast<std::int64_t>(settings.retry_share * percent))) /
                           percent;
    if (auto status = reader.finish(); !status.ok())
        return status;
    return settings;
}

std::size_t gateway_settings::buffer_limit_bytes() const
{
    if (memory_mb <= 0)
        return default_buffer_limit_bytes;
    return static_cast<std::size_t>(memory_mb * bytes_per_megabyte * buffer_share);
}

} // namespace almondcart
