#pragma once

#include <almondcart/core/buffer_budget.hpp>
#include <almondcart/http/http_client.hpp>

#include <cstddef>
#include <memory>

#include "server_sent_event_parser.hpp"
#include "upstream_client.hpp"

namespace almondcart {

/// Parses the response of an engine to one call and reports its events.
class engine_response
{
public:
    /// `answer_limit_bytes` limits the size of one event and of the body of an error response;
    /// `buffers` limits those of all responses together.
    engine_response(
        upstream_events events,
        std::size_t answer_limit_bytes,
        std::shared_ptr<buffer_budget> buffers);
    engine_response(engine_response const&) = delete;
    engine_response& operator=(engine_response const&) = delete;

    void read_head(http_response_head const& head);

    /// Returns false if the response exceeds a limit. It must not be read on then; `end_too_large`
    /// reports that.
    bool read_body(std::string_view text);
    void end_too_large() const;
    void end(absl::Status const& status);

private:
    void read_event(std::string const& data);
    bool is_stream() const { return response_.status == 200; }

    upstream_events events_;
    std::size_t limit_bytes_;
    buffer_account account_; ///< of the incomplete event or the body
    server_sent_event_parser event_parser_;
    upstream_response response_;
    bool is_complete_ = false;
};

} // namespace almondcart
