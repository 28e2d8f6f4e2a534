#pragma once

#include <almondcart/http/http_client.hpp>

#include <absl/status/statusor.h>
#include <json/json.h>

#include <functional>
#include <string>

namespace almondcart {

/// HTTP client of the platform's log service.
class log_transport
{
public:
    using callback = std::function<void(absl::StatusOr<Json::Value>)>;

    /// The client must outlive the transport and its calls.
    log_transport(http_client& client, std::string address);

    /// `POST /v1/append`. After an error it is unknown whether the records were appended.
    void append(Json::Value const& message, callback done);

    /// `POST /v1/read`, a long poll that the log service holds for up to `wait_ms` of the message.
    void read(Json::Value const& message, callback done);

private:
    void post(std::string const& path, Json::Value const& message, duration timeout, callback done);

    http_client& client_;
    std::string address_;
};

} // namespace almondcart
