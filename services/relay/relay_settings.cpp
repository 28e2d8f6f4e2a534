#include "relay_settings.hpp"

#include <almondcart/core/json_members.hpp>
#include <almondcart/core/settings_file.hpp>

namespace almondcart {

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
    if (auto status = reader.finish(); !status.ok())
        return status;
    return settings;
}

} // namespace almondcart
