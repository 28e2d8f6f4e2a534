#include <almondcart/routing/crash_set.hpp>

namespace almondcart {

Json::Value crash_set_to_json(crash_set const& crashes)
{
    Json::Value value(Json::objectValue);
    for (auto const& [crash, upstream] : crashes)
        value[crash] = upstream;
    return value;
}

crash_set parse_crash_set(Json::Value const& value)
{
    crash_set crashes;
    if (!value.isObject())
        return crashes;
    for (auto const& crash : value.getMemberNames())
    {
        if (value[crash].isString())
            crashes[crash] = value[crash].asString();
    }
    return crashes;
}

} // namespace almondcart
