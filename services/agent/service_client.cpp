#include "service_client.hpp"

#include <memory>
#include <utility>

namespace almondcart {

namespace {

/// Response that is being received.
struct partial_response
{
    explicit partial_response(std::shared_ptr<buffer_budget> buffers)
        : account(std::move(buffers))
    {}

    upstream_events events;
    upstream_response response;
    std::size_t limit_bytes = 0;
    buffer_account account; ///< of the body
};

/// Returns false if the response exceeds a limit.
bool add_body(partial_response& partial, std::string_view text)
{
    auto const size = partial.response.data.size() + text.size();
    if (size > partial.limit_bytes || !partial.account.allows(size))
        return false;
    partial.response.data += text;
    partial.account.resize(size);
    return true;
}

void end(partial_response& partial, absl::Status const& status)
{
    if (!status.ok())
        report_error(status, partial.events);
    else
        partial.events.finished(std::move(partial.response));
}

} // namespace

service_client::service_client(agent_settings const& settings, http_client& client)
    : settings_(settings)
    , client_(client)
    , buffers_(std::make_shared<buffer_budget>(settings.response_buffer_bytes()))
{}

void service_client::start(std::uint64_t call, dispatch const& work, upstream_events events)
{
    auto const partial = std::make_shared<partial_response>(buffers_);
    partial->events = std::move(events);
    partial->limit_bytes = static_cast<std::size_t>(settings_.answer_limit_bytes);
    http_callbacks callbacks;
    callbacks.on_headers = [partial](http_response_head const& head)
    {
        partial->response.status = head.status;
        partial->response.content_type = find_header(head.headers, "content-type").value_or("");
    };
    callbacks.on_body = [this, call, partial](std::string_view text)
    {
        if (add_body(*partial, text))
            return;
        calls_.cancel(call);
        partial->events.failed("the response exceeds the size limit", call_failure::incomplete);
    };
    callbacks.on_done = [partial](absl::Status const& status) { end(*partial, status); };
    calls_.start(
        client_,
        call,
        create_upstream_request(
            work, settings_.upstream_address, settings_.first_byte_timeout, settings_.idle_timeout),
        std::move(callbacks));
}

} // namespace almondcart
