#include <almondcart/core/json.hpp>
#include <almondcart/core/settings_file.hpp>
#include <almondcart/core/status.hpp>

#include <fstream>
#include <iterator>

namespace almondcart {

absl::StatusOr<Json::Value> read_settings_file(std::string const& file)
{
    std::ifstream stream(file);
    if (!stream)
        return make_status(result_code::invalid_settings, file + ": cannot be read");
    std::string const text(std::istreambuf_iterator<char>(stream), {});
    auto value = parse_json(text);
    if (!value.ok())
        return make_status(
            result_code::invalid_settings, file + ": " + std::string(value.status().message()));
    return value;
}

} // namespace almondcart
