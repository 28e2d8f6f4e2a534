#pragma once

#include <almondcart/http/http_client.hpp>

#include "server_sent_event_parser.hpp"
#include "upstream_client.hpp"

namespace almondcart {

/// Reads the response of an engine to one call and reports its events.
class engine_response
{
public:
    /// `answer_limit_bytes` bounds one event, and the body of an error response.
    engine_response(upstream_events events, std::size_t answer_limit_bytes);
    engine_response(engine_response const&) = delete;
    engine_response& operator=(engine_response const&) = delete;

    void read_head(http_response_head const& head);
    void read_body(std::string_view text);
    void end(absl::Status const& status);

private:
    void read_event(std::string const& data);
    bool is_stream() const { return answer_.status == 200; }

    upstream_events events_;
    std::size_t limit_;
    server_sent_event_parser stream_;
    upstream_response answer_;
    bool is_complete_ = false;
    bool is_too_large_ = false;
};

} // namespace almondcart
