#include "call_table.hpp"

#include <utility>

namespace almondcart {

void call_table::start(
    http_client& client,
    std::uint64_t call,
    http_request request,
    http_callbacks callbacks)
{
    callbacks.on_done = [this, call, done = std::move(callbacks.on_done)](absl::Status status)
    {
        calls_.erase(call);
        done(std::move(status));
    };
    calls_.emplace(call, client.request(std::move(request), std::move(callbacks)));
}

void call_table::cancel(std::uint64_t call)
{
    auto const it = calls_.find(call);
    if (it == calls_.end())
        return;
    auto handle = it->second;
    calls_.erase(it);
    handle.cancel();
}

http_request create_upstream_request(
    dispatch const& work,
    std::string const& address,
    duration first_byte_timeout,
    duration idle_timeout)
{
    http_request request;
    request.address = address;
    request.method = work.method;
    request.path = work.path;
    request.headers = {{"Content-Type", work.content_type}, {"Idempotency-Key", work.request.key}};
    request.body = work.body;
    request.is_connection_reusable = false;
    // The callers limit what they keep, and a stream may be long.
    request.body_limit_bytes = 0;
    // Non-idempotent work has no timeout, because its outcome would be lost.
    request.first_byte_timeout = work.is_idempotent ? first_byte_timeout : duration(0);
    request.idle_timeout = work.is_idempotent ? idle_timeout : duration(0);
    return request;
}

void report_error(absl::Status const& status, upstream_events const& events)
{
    std::string const detail(status.message());
    if (is_request_unsent(status))
        events.not_started(detail);
    else
        events.failed(detail, call_failure::connection_lost);
}

} // namespace almondcart
