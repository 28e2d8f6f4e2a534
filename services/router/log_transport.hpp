#pragma once

#include <almondcart/http/http_client.hpp>

#include <absl/status/statusor.h>
#include <json/json.h>

#include <functional>
#include <string>

namespace almondcart {

/// Calls of the platform's log service over HTTP.
class log_transport
{
public:
    using callback = std::function<void(absl::StatusOr<Json::Value>)>;

    /// The client must outlive the transport and its calls.
    log_transport(http_client& client, std::string address);

    /// `POST /v1/append`. An error leaves open whether the records were appended.
    void append(Json::Value const& message, callback done);

    /// `POST /v1/read`, with long polling as `wait_ms` of the message says.
    void read(Json::Value const& message, callback done);

private:
    void post(std::string const& path, Json::Value const& message, duration timeout, callback done);

    http_client& client_;
    std::string address_;
};

} // namespace almondcart
