#include <spdlog/spdlog.h>

#include <utility>

#include "forward_session.hpp"

namespace almondcart {

namespace {

using forwarding::attempt_result;
using http1::exchange_outcome;

/// Connections that may fail before a request is refused.
constexpr int connect_failure_limit = 4;

} // namespace

bool forward_session::on_head(http1::response_head const& head)
{
    auto answer = context_.codec.decode_response(head.status, head.headers);
    if (!answer.request_id.empty() && answer.request_id != request_.id)
    {
        spdlog::warn(
            "[forward] request={} upstream={} dropped an answer to request {}",
            request_.id,
            last_upstream_,
            answer.request_id);
        return false;
    }
    silence_timer_.cancel();
    answer_ = std::move(answer);
    return true;
}

void forward_session::on_body(std::string_view data)
{
    if (!is_streaming() || !answer_.is_success())
    {
        answer_body_ += data;
        return;
    }
    forward_events(events_.feed(data));
}

void forward_session::forward_events(std::string const& events)
{
    if (events.empty() || is_done_)
        return;
    if (!first_byte_time_)
    {
        first_byte_time_ = context_.loop.now() - arrived_;
        context_.metrics.observe_first_byte(forwarding::name_of(route_->kind), *first_byte_time_);
    }
    if (!is_answer_started_)
    {
        // A success without the upstream's signature is not passed on.
        if (!answer_.is_signed)
            return;
        is_answer_started_ = true;
        exchange_->start(answer_.status, answer_.forwarded);
    }
    if (ticket_)
        ticket_->set_prompt_read();
    exchange_->send(events);
}

void forward_session::on_end(exchange_outcome end)
{
    silence_timer_.cancel();
    if (is_done_)
        return;
    context_.metrics.count_attempt(http1::name_of(end));
    drop_connection(end == exchange_outcome::complete);
    if (end != exchange_outcome::complete)
        on_lost(end);
    else if (is_streaming() && answer_.is_success())
        on_stream_end();
    else
        on_whole_answer();
}

void forward_session::on_stream_end()
{
    // A whole stream ends with a whole event, and its start was signed.
    if (!is_answer_started_ || events_.pending_bytes() > 0)
    {
        on_lost(exchange_outcome::broken_off);
        return;
    }
    context_.picker.record(ticket_->target(), attempt_result::success);
    run_ = run_state::maybe_run;
    exchange_->finish();
    finish("served", answer_.status);
}

void forward_session::on_whole_answer()
{
    if (answer_.is_not_executed)
    {
        on_refused_by_upstream();
        return;
    }
    run_ = run_state::maybe_run;
    constexpr int server_error = 500;
    bool const is_failure = answer_.status >= server_error;
    context_.picker.record(
        ticket_->target(), is_failure ? attempt_result::error_response : attempt_result::success);
    if (answer_.is_success() && !answer_.is_signed)
        on_lost(exchange_outcome::malformed);
    else if (is_failure && may_repeat())
        attempt();
    else
        deliver_answer();
}

void forward_session::deliver_answer()
{
    if (is_answer_started_)
    {
        // The rest of a stream was to come from another upstream, which failed.
        exchange_->abort();
        finish("broken_off", answer_.status);
        return;
    }
    constexpr int unavailable = 503;
    constexpr int too_many_requests = 429;
    constexpr int request_timeout = 408;
    bool const is_promise = answer_.status == unavailable || answer_.status == too_many_requests ||
                            answer_.status == request_timeout;
    // These statuses would tell the caller that the request did not run.
    if (is_promise)
    {
        fail(result_code::upstream_failed, "the upstream failed");
        return;
    }
    if (!first_byte_time_)
        first_byte_time_ = context_.loop.now() - arrived_;
    exchange_->respond(answer_.status, answer_.forwarded, answer_body_);
    finish(answer_.is_success() ? "served" : "upstream_failure", answer_.status);
}

void forward_session::on_refused_by_upstream()
{
    if (run_ == run_state::not_sent)
        run_ = run_state::refused;
    context_.picker.record(
        ticket_->target(), answer_.is_misdirected ? attempt_result::lost : attempt_result::full);
    bool const is_left = attempts_ < route_->attempt_limit && time_left() > duration(0);
    if (is_left && context_.retries_of(service_->name).try_retry({true, false}))
        attempt();
    else if (run_ == run_state::maybe_run)
        fail(result_code::upstream_lost, "the repeated request found no place");
    else
        refuse(result_code::overloaded, "the upstream has no place", retry_after());
}

bool forward_session::may_repeat()
{
    return route_->is_retryable() && attempts_ < route_->attempt_limit &&
           time_left() > duration(0) &&
           context_.retries_of(service_->name).try_retry({true, false});
}

void forward_session::on_lost(exchange_outcome end)
{
    if (ticket_)
        context_.picker.record(ticket_->target(), attempt_result::lost);
    events_.discard_pending();
    if (end == exchange_outcome::not_connected)
    {
        // Nothing was sent, so this was no attempt.
        --attempts_;
        ++connect_failures_;
        if (connect_failures_ < connect_failure_limit && time_left() > duration(0))
            attempt();
        else if (run_ == run_state::maybe_run)
            fail(result_code::upstream_lost, "no upstream could be reached");
        else
            refuse(result_code::no_upstream, "no upstream could be reached", retry_after());
        return;
    }
    run_ = run_state::maybe_run;
    if (may_repeat())
        attempt();
    else
        fail(result_code::upstream_lost, http1::name_of(end));
}

} // namespace almondcart
