#pragma once

#include <almondcart/gate/work_gate.hpp>

#include <absl/status/status.h>

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace almondcart {

/// Events of one upstream call. The last one is `finished`, `failed` or `not_started`.
struct upstream_events
{
    std::function<void(std::string data, token_count tokens)> output;
    std::function<void(upstream_response response)> finished;
    std::function<void(std::string_view detail, call_failure failure)> failed;
    std::function<void(std::string_view detail)> not_started;
};

/// Client for the calls to one upstream.
class upstream_client
{
public:
    virtual ~upstream_client() = default;

    /// Starts a call. No event is reported before this function returns.
    virtual void start(std::uint64_t call, dispatch const& work, upstream_events events) = 0;

    /// Closes the connection of the call. No further event is reported.
    virtual void cancel(std::uint64_t call) = 0;
};

} // namespace almondcart
