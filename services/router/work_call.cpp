#include "work_call.hpp"

#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/http/logical_time.hpp>

#include <utility>

namespace almondcart {

namespace {

/// A longer line means that the peer is not an agent of this version.
constexpr std::size_t line_bytes_limit = 64UL * 1024 * 1024;

/// Longer than any silence of a healthy agent: while work waits or runs, the agent sends data
/// within this time, or the upstream's own deadline has ended the call.
constexpr duration idle_timeout{600'000};

constexpr duration connect_timeout{1'000};
constexpr int http_ok = 200;

} // namespace

std::shared_ptr<work_call> work_call::start(
    http_client& client,
    event_journal& journal,
    std::string const& address,
    dispatch const& work,
    hooks hooks)
{
    std::shared_ptr<work_call> call(new work_call());
    call->hooks_ = std::move(hooks);

    http_request request;
    request.address = address;
    request.method = "POST";
    request.path = "/work";
    request.headers = {{"Content-Type", "application/json"}};
    add_logical_time(request.headers, journal);
    request.body = to_compact_json(to_json(work));
    request.connect_timeout = connect_timeout;
    request.first_byte_timeout = idle_timeout;
    request.idle_timeout = idle_timeout;
    // A reused connection can close while the request is under way, and it would be unknown whether
    // the attempt ran.
    request.is_connection_reusable = false;
    // Output may be long, and only an incomplete line is kept.
    request.body_limit_bytes = 0;

    http_callbacks callbacks;
    callbacks.on_headers = [call, &journal](http_response_head const& head)
    {
        call->http_status_ = head.status;
        observe_logical_time(head.headers, journal);
    };
    callbacks.on_body = [call](std::string_view data) { call->receive(data); };
    callbacks.on_done = [call](absl::Status const& status) { call->end(status); };
    call->call_ = client.request(std::move(request), std::move(callbacks));
    return call;
}

void work_call::cancel()
{
    is_ended_ = true;
    call_.cancel();
}

void work_call::receive(std::string_view data)
{
    if (http_status_ != http_ok || is_ended_)
        return;
    auto const self = shared_from_this(); // a hook may cancel this call and release its last owner
    buffer_ += data;
    std::size_t begin = 0;
    for (auto n = buffer_.find('\n'); n != std::string::npos; n = buffer_.find('\n', begin))
    {
        receive_line(std::string_view(buffer_).substr(begin, n - begin));
        begin = n + 1;
        if (is_ended_)
            return;
    }
    buffer_.erase(0, begin);
    if (buffer_.size() > line_bytes_limit)
        end(make_status(result_code::upstream_failed, "the agent sent a line without end"));
}

void work_call::receive_line(std::string_view text)
{
    auto const line = parse_work_line(text);
    if (!line.ok())
    {
        end(line.status());
        return;
    }
    is_complete_ = is_last(*line);
    hooks_.on_line(*line);
}

void work_call::end(absl::Status const& status)
{
    if (is_ended_)
        return;
    is_ended_ = true;
    if (is_complete_)
        hooks_.on_end(absl::OkStatus());
    else if (!status.ok())
        hooks_.on_end(status);
    else
        hooks_.on_end(make_status(
            result_code::upstream_lost, "the agent ended its response before the last line"));
}

} // namespace almondcart
