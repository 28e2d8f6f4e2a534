#include "agent_settings.hpp"

#include <almondcart/core/json_members.hpp>
#include <almondcart/core/settings_file.hpp>

#include <cstddef>
#include <limits>

namespace almondcart {

namespace {

constexpr std::int64_t slot_limit = 4096;
constexpr std::int64_t byte_limit = 1'073'741'824;
constexpr std::int64_t item_limit = 1'000'000;
constexpr double memory_limit_mb = 1e7;
constexpr double bytes_per_megabyte = 1e6;

/// Share of the process's memory for responses that are being received. Retained output, clients
/// and the program itself need the rest.
constexpr double response_memory_share = 1.0 / 6;

constexpr std::int64_t descriptor_limit = 10'000'000;

upstream_kind read_kind(json_reader& reader)
{
    auto const kind = reader.string("upstream_kind");
    if (kind != "engine" && kind != "service")
        reader.fail("upstream_kind", "\"engine\" or \"service\"");
    return kind == "service" ? upstream_kind::service : upstream_kind::engine;
}

void read_limits(json_reader& reader, agent_settings& it)
{
    it.slots = static_cast<int>(reader.integer_or("slots", 1, slot_limit, it.slots));
    it.output_limit_bytes =
        reader.integer_or("output_limit_bytes", 1, byte_limit, it.output_limit_bytes);
    it.unacknowledged_limit =
        reader.integer_or("unacknowledged_limit", 1, item_limit, it.unacknowledged_limit);
    it.answer_limit_bytes =
        reader.integer_or("answer_limit_bytes", 1, byte_limit, it.answer_limit_bytes);
    it.output_retention = reader.milliseconds_or("output_retention_ms", it.output_retention);
    it.idle_retention = reader.milliseconds_or("idle_retention_ms", it.idle_retention);
    it.usage_offer_after = reader.milliseconds_or("usage_offer_after_ms", it.usage_offer_after);
    it.heartbeat_interval = reader.milliseconds_or("heartbeat_interval_ms", it.heartbeat_interval);
    it.first_byte_timeout = reader.milliseconds_or("first_byte_timeout_ms", it.first_byte_timeout);
    it.idle_timeout = reader.milliseconds_or("idle_timeout_ms", it.idle_timeout);
    it.probe_interval = reader.milliseconds_or("probe_interval_ms", it.probe_interval);
    it.memory_mb = reader.number_or("memory_mb", 0, memory_limit_mb, it.memory_mb);
    it.max_descriptors =
        reader.integer_or("max_descriptors", 0, descriptor_limit, it.max_descriptors);
    it.shutdown_timeout = reader.milliseconds_or("shutdown_timeout_ms", it.shutdown_timeout);
}

} // namespace

std::size_t agent_settings::response_buffer_bytes() const
{
    if (memory_mb <= 0)
        return std::numeric_limits<std::size_t>::max();
    return static_cast<std::size_t>(memory_mb * bytes_per_megabyte * response_memory_share);
}

absl::StatusOr<agent_settings> agent_settings::load(std::string const& file)
{
    auto const value = read_settings_file(file);
    if (!value.ok())
        return value.status();
    agent_settings settings;
    json_reader reader(*value, file, result_code::invalid_settings);
    settings.name = read_name(reader, "name");
    settings.upstream = read_name(reader, "upstream");
    settings.listen = read_address(reader, "listen");
    settings.advertise = read_address(reader, "advertise");
    settings.availability_zone = read_name(reader, "availability_zone");
    settings.upstream_address = read_address(reader, "upstream_address");
    settings.kind = read_kind(reader);
    settings.does_upstream_check_fencing = reader.boolean("upstream_checks_fencing");
    settings.routers = read_addresses(reader, "routers");
    settings.log_level = read_log_level_or(reader, "log_level", settings.log_level);
    read_limits(reader, settings);
    if (auto status = reader.finish(); !status.ok())
        return status;
    return settings;
}

} // namespace almondcart
