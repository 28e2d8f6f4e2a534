#include "router_settings.hpp"

#include <almondcart/core/json_members.hpp>
#include <almondcart/core/settings_file.hpp>

namespace almondcart {

namespace {

constexpr std::int64_t body_limit_maximum_bytes = 64LL * 1024 * 1024;
constexpr double memory_limit_mb = 1e7;
constexpr std::int64_t descriptor_limit = 10'000'000;

} // namespace

absl::StatusOr<router_settings> router_settings::load(std::string const& file)
{
    auto const value = read_settings_file(file);
    if (!value.ok())
        return value.status();
    router_settings settings;
    json_reader reader(*value, file, result_code::invalid_settings);
    settings.name = read_name(reader, "name");
    settings.availability_zone = read_name(reader, "availability_zone");
    settings.listen = read_address(reader, "listen");
    settings.peer_listen = read_address(reader, "peer_listen");
    settings.log_address = read_address(reader, "log_address");
    if (reader.has("vm_list_address"))
        settings.vm_list_address = read_address(reader, "vm_list_address");
    settings.peers = read_addresses(reader, "peers");
    settings.log_level = read_log_level_or(reader, "log_level", settings.log_level);
    settings.flush_interval = reader.milliseconds_or("flush_interval_ms", settings.flush_interval);
    settings.peer_timeout = reader.milliseconds_or("peer_timeout_ms", settings.peer_timeout);
    settings.shutdown_timeout =
        reader.milliseconds_or("shutdown_timeout_ms", settings.shutdown_timeout);
    settings.log_retention = reader.milliseconds_or("log_retention_ms", settings.log_retention);
    settings.body_limit_bytes = reader.integer_or(
        "body_limit_bytes", 1, body_limit_maximum_bytes, settings.body_limit_bytes);
    settings.memory_mb = reader.number_or("memory_mb", 0, memory_limit_mb, settings.memory_mb);
    settings.max_descriptors =
        reader.integer_or("max_descriptors", 0, descriptor_limit, settings.max_descriptors);
    if (auto status = reader.finish(); !status.ok())
        return status;
    return settings;
}

} // namespace almondcart
