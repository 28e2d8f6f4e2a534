#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace almondcart::http1 {

/// Limit because of which a server refuses a request or closes a connection.
enum class client_limit
{
    connections, ///< a request on a new connection was refused, or the connection was closed
    memory,      ///< a request got no room in time and was refused
    stalled,     ///< closed because others needed the room and no bytes came
    idle,        ///< closed without a request in progress because others needed its descriptor
    body_time,   ///< a body came too slowly
};

inline std::string_view name_of(client_limit limit)
{
    static constexpr std::array<std::string_view, 5> names{
        "connections", "memory", "stalled", "idle", "body_time"};
    return names.at(static_cast<std::size_t>(limit));
}

} // namespace almondcart::http1
