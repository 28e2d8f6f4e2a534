#pragma once

#include <almondcart/http/http_client.hpp>

#include "server_sent_event_parser.hpp"
#include "upstream_client.hpp"

namespace almondcart {

/// Parses the response of an engine to one call and reports its events.
class engine_response
{
public:
    /// `answer_limit_bytes` limits the size of one event and of the body of an error response.
    engine_response(upstream_events events, std::size_t answer_limit_bytes);
    engine_response(engine_response const&) = delete;
    engine_response& operator=(engine_response const&) = delete;

    void read_head(http_response_head const& head);
    void read_body(std::string_view text);
    void end(absl::Status const& status);

private:
    void read_event(std::string const& data);
    bool is_stream() const { return response_.status == 200; }

    upstream_events events_;
    std::size_t limit_bytes_;
    server_sent_event_parser event_parser_;
    upstream_response response_;
    bool is_complete_ = false;
    bool is_too_large_ = false;
};

} // namespace almondcart
