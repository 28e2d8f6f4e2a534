#pragma once

#include <json/json.h>

#include <map>
#include <string>

namespace almondcart {

/// Crashes in which a fingerprint was running: name of the upstream by crash id.
using crash_set = std::map<std::string, std::string>;

/// JSON object of upstream names by crash id.
inline Json::Value to_json(crash_set const& crashes)
{
    Json::Value value(Json::objectValue);
    for (auto const& [id, upstream] : crashes)
        value[id] = upstream;
    return value;
}

/// Reads that object; members that are no strings are left out.
inline crash_set read_crash_set(Json::Value const& value)
{
    crash_set crashes;
    if (!value.isObject())
        return crashes;
    for (auto const& id : value.getMemberNames())
    {
        if (value[id].isString())
            crashes[id] = value[id].asString();
    }
    return crashes;
}

} // namespace almondcart
