#pragma once

#include <almondcart/http/http_client.hpp>

#include <map>
#include <memory>

#include "upstream_client.hpp"

namespace almondcart {

/// Running HTTP calls to an upstream, keyed by the gate's call number.
class call_table
{
public:
    /// Sends the request. The call is removed from the table before `callbacks.on_done` runs.
    void
    start(http_client& client, std::uint64_t call, http_request request, http_callbacks callbacks);

    void cancel(std::uint64_t call);

private:
    std::map<std::uint64_t, http_call> calls_;
};

/// Creates the request to the upstream with the timeouts for this work. Connections are not reused,
/// because only on a new connection a failure before the first byte proves that the call did not
/// run.
http_request create_upstream_request(
    dispatch const& work,
    std::string const& address,
    duration first_byte_timeout,
    duration idle_timeout);

/// Reports a call that `http_client` ended with an error.
void report_error(absl::Status const& status, upstream_events const& events);

} // namespace almondcart
