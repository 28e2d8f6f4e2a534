#include "relay_settings.hpp"

#include <almondcart/core/json_members.hpp>
#include <almondcart/core/settings_file.hpp>

namespace almondcart {

namespace {

constexpr double memory_limit_mb = 1e7;
constexpr std::int64_t descriptor_limit = 10'000'000;

} // namespace

absl::StatusOr<relay_settings> relay_settings::load(std::string const& file)
{
    auto const value = read_settings_file(file);
    if (!value.ok())
        return value.status();
    relay_settings settings;
    json_reader reader(*value, file, result_code::invalid_settings);
    settings.name = read_name(reader, "name");
    settings.listen = read_address(reader, "listen");
    settings.store_address = read_address(reader, "store_address");
    if (reader.has("load_listen"))
        settings.load_listen = read_address(reader, "load_listen");
    settings.log_level = read_log_level_or(reader, "log_level", settings.log_level);
    settings.memory_mb = reader.number_or("memory_mb", 0, memory_limit_mb, settings.memory_mb);
    settings.max_descriptors =
        reader.integer_or("max_descriptors", 0, descriptor_limit, settings.max_descriptors);
    if (auto status = reader.finish(); !status.ok())
        return status;
    return settings;
}

} // namespace almondcart
