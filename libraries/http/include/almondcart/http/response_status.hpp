#pragma once

namespace almondcart {

/// Whether a response with `status` precedes the final response to the same request. 101 does not:
/// HTTP would end on the connection, which no request of this project asks for.
constexpr bool is_interim_status(int status)
{
    constexpr int switching_protocols = 101;
    return status >= 100 && status < 200 && status != switching_protocols;
}

/// Whether a final response may have `status`. A status that is neither this nor an interim one is
/// invalid (RFC 9110, section 15).
constexpr bool is_final_status(int status)
{
    return status >= 200 && status < 600;
}

} // namespace almondcart
