#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "forward_session.hpp"

namespace almondcart {

namespace {

using forwarding::attempt_result;
using http1::exchange_outcome;

/// Number of failed connections after which a request is refused.
constexpr int connect_failure_limit = 4;

/// Bytes of a stream that may wait for its client before the upstream is slowed down.
constexpr std::size_t client_queue_bytes = std::size_t{64} * 1024;

} // namespace

bool forward_session::on_head(http1::response_head const& head)
{
    auto response = context_.codec.decode_response(head.status, head.headers);
    // On a connection that has carried others, a response without an id may be a late copy of
    // theirs.
    bool const is_identified = !response.request_id.empty() || !connection_->is_reused();
    if (!is_identified || (!response.request_id.empty() && response.request_id != request_.id))
    {
        spdlog::warn(
            "[forward] request={} upstream={} discarded a response to request {}",
            request_.id,
            last_upstream_,
            response.request_id.empty() ? "-" : response.request_id);
        return false;
    }
    response_timer_.cancel();
    response_ = std::move(response);
    context_.crashes.observer().responded(in_flight_->target().process());
    record_statements();
    return true;
}

void forward_session::record_statements()
{
    auto const& target = in_flight_->pointer();
    if (response_.is_leaving && !target->statement.is_leaving)
    {
        log_statement("leaving");
        context_.directory.record_leaving(target);
    }
    if (response_.pause)
    {
        log_statement("pause");
        context_.directory.record_pause(target, context_.loop.now() + *response_.pause);
    }
}

void forward_session::log_statement(std::string_view statement) const
{
    auto const& target = in_flight_->target().entry;
    spdlog::info(
        "[upstreams] upstream={} started_ms={} says {} ms={} in the response to request={}",
        target.id,
        target.started_ms,
        statement,
        response_.pause.value_or(duration(0)).count(),
        request_.id);
    context_.metrics.count_statement(statement);
}

void forward_session::on_body(std::string_view data)
{
    if (!is_streaming() || !response_.is_success())
    {
        response_body_ += data;
        response_account_.resize(response_body_.size());
        if (exceeds_limit(response_body_.size()))
            abandon_response("exceeds the limit");
        return;
    }
    // Events of an unsigned response may belong to no run, or to another one.
    if (!response_.is_signed)
    {
        abandon_response("is not signed");
        return;
    }
    forward_events(events_.feed(data));
    response_account_.resize(events_.pending_bytes());
    if (events_.is_malformed())
        abandon_response("is not a stream of events");
    else if (has_too_many_events())
        abandon_response("has more events than the request allows");
    else if (exceeds_limit(events_.pending_bytes()))
        abandon_response("exceeds the limit");
}

bool forward_session::exceeds_limit(std::size_t bytes) const
{
    return bytes > context_.settings.response_limit_bytes || !response_account_.allows(bytes);
}

bool forward_session::has_too_many_events() const
{
    // Each event has a token at least. One more event may tell the end of the stream.
    return request_.prompt && events_.event_count() > request_.prompt->output_limit_tokens + 1;
}

void forward_session::slow_down_upstream()
{
    if (connection_ == nullptr)
        return;
    is_upstream_slowed_ = true;
    connection_->pause_reading();
}

void forward_session::abandon_response(std::string_view reason)
{
    spdlog::warn(
        "[forward] request={} upstream={} response {}", request_.id, last_upstream_, reason);
    drop_connection(false);
    on_attempt_lost(exchange_outcome::malformed);
}

void forward_session::forward_events(std::string const& events)
{
    if (events.empty() || is_done_)
        return;
    if (!first_byte_time_)
    {
        first_byte_time_ = context_.loop.now() - arrived_;
        context_.metrics.observe_first_byte(forwarding::name_of(route_->kind), *first_byte_time_);
        report_answer();
    }
    if (!is_response_started_)
    {
        is_response_started_ = true;
        exchange_->start(response_.status, response_.forwarded);
    }
    if (in_flight_)
        in_flight_->set_prompt_read();
    exchange_->send(events);
    auto const share = std::min(client_queue_bytes, context_.buffers->share_bytes());
    if (exchange_->pending_bytes() > share)
        slow_down_upstream();
}

void forward_session::on_end(exchange_outcome outcome)
{
    response_timer_.cancel();
    if (is_done_)
        return;
    if (outcome == exchange_outcome::withheld)
    {
        on_withheld();
        return;
    }
    context_.metrics.count_attempt(http1::name_of(outcome));
    // The upstream may have started anew. Time-outs do not get here.
    if (outcome == exchange_outcome::not_connected || outcome == exchange_outcome::not_answered ||
        outcome == exchange_outcome::broken_off)
        context_.cold_starts.record_loss(in_flight_->target());
    if (outcome == exchange_outcome::not_answered || outcome == exchange_outcome::broken_off)
        report_broken_connection();
    drop_connection(outcome == exchange_outcome::complete);
    if (outcome != exchange_outcome::complete)
        on_attempt_lost(outcome);
    else if (is_streaming() && response_.is_success())
        on_stream_end();
    else
        on_complete_response();
}

void forward_session::on_withheld()
{
    context_.metrics.count_attempt(http1::name_of(exchange_outcome::withheld));
    // Nothing was sent, so this does not count as an attempt.
    --attempts_;
    context_.connections.discard(in_flight_->target(), std::exchange(connection_, nullptr));
    attempt();
}

void forward_session::on_stream_end()
{
    // A complete stream has a signed head and ends with a complete event.
    if (!is_response_started_ || !response_.is_signed || events_.pending_bytes() > 0)
    {
        on_attempt_lost(exchange_outcome::broken_off);
        return;
    }
    context_.picker.record(in_flight_->target(), attempt_result::success);
    execution_ = execution_state::may_have_run;
    exchange_->finish();
    finish("served", response_.status);
}

void forward_session::on_complete_response()
{
    if (response_.is_not_executed)
    {
        on_not_executed();
        return;
    }
    execution_ = execution_state::may_have_run;
    report_answer();
    constexpr int server_error = 500;
    bool const is_failure = response_.status >= server_error;
    context_.picker.record(
        in_flight_->target(),
        is_failure ? attempt_result::error_response : attempt_result::success);
    if (response_.is_success() && !response_.is_signed)
        on_attempt_lost(exchange_outcome::malformed);
    else if (is_failure && try_consume_retry())
        attempt();
    else
        deliver_response();
}

void forward_session::deliver_response()
{
    if (is_response_started_)
    {
        // The upstream that was to continue the stream has failed.
        exchange_->abort();
        finish("broken_off", response_.status);
        return;
    }
    constexpr int unavailable = 503;
    constexpr int too_many_requests = 429;
    constexpr int request_timeout = 408;
    bool const implies_not_executed = response_.status == unavailable ||
                                      response_.status == too_many_requests ||
                                      response_.status == request_timeout;
    // These statuses would tell the client that the request did not run, which is not known here.
    if (implies_not_executed)
    {
        fail(
            result_code::upstream_failed,
            "the upstream responded with a status that does not tell whether the request ran");
        return;
    }
    if (!first_byte_time_)
        first_byte_time_ = context_.loop.now() - arrived_;
    exchange_->respond(response_.status, response_.forwarded, response_body_);
    finish(response_.is_success() ? "served" : "upstream_failure", response_.status);
}

void forward_session::on_not_executed()
{
    if (execution_ == execution_state::not_sent)
        execution_ = execution_state::rejected;
    if (response_.is_misdirected)
        permit_.give_back();
    context_.picker.record(
        in_flight_->target(),
        response_.is_misdirected ? attempt_result::lost : attempt_result::full);
    bool const has_attempts_left = attempts_ < route_->attempt_limit && time_left() > duration(0);
    if (has_attempts_left && context_.retry_budget_of(service_->name).try_retry({true, false}))
        attempt();
    else if (execution_ == execution_state::may_have_run)
        fail(result_code::upstream_lost, "no upstream had capacity for a retry");
    else if (!refuse_if_paused())
        refuse(result_code::overloaded, "the upstream is at capacity", retry_after());
}

bool forward_session::try_consume_retry()
{
    return route_->is_retryable() && attempts_ < route_->attempt_limit &&
           time_left() > duration(0) &&
           context_.retry_budget_of(service_->name).try_retry({true, false});
}

void forward_session::report_answer()
{
    context_.crashes.observer().answered(service_->name, features_);
}

void forward_session::report_broken_connection()
{
    // A request that crashes an upstream gets no part of its answer.
    if (events_.event_count() == 0)
        context_.crashes.observer().lost(in_flight_->target().process(), service_->name, features_);
}

void forward_session::log_lost_attempt(exchange_outcome outcome) const
{
    auto const& target = in_flight_->target().entry;
    bool const has_events = events_.event_count() > 0;
    context_.metrics.count_lost_attempt(http1::name_of(outcome), has_events);
    spdlog::info(
        "[forward] request={} attempt={} lost: {} upstream={} started_ms={} events={} "
        "waited_ms={} service={} features={}",
        request_.id,
        attempts_,
        http1::name_of(outcome),
        target.id,
        target.started_ms,
        events_.event_count(),
        (context_.loop.now() - sent_at_).count(),
        service_->name,
        text_of(features_));
}

void forward_session::on_attempt_lost(exchange_outcome outcome)
{
    if (in_flight_)
    {
        context_.picker.record(in_flight_->target(), attempt_result::lost);
        log_lost_attempt(outcome);
    }
    events_.discard_pending();
    if (outcome == exchange_outcome::not_connected)
    {
        // Nothing was sent, so this does not count as an attempt.
        --attempts_;
        ++connect_failures_;
        if (connect_failures_ < connect_failure_limit && time_left() > duration(0))
            attempt();
        else if (execution_ == execution_state::may_have_run)
            fail(result_code::upstream_lost, "no upstream could be reached");
        else
            refuse(result_code::no_upstream, "no upstream could be reached", retry_after());
        return;
    }
    execution_ = execution_state::may_have_run;
    if (try_consume_retry())
        attempt();
    else
        fail(result_code::upstream_lost, http1::name_of(outcome));
}

} // namespace almondcart
