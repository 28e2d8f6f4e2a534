#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

#include "forward_session.hpp"

namespace almondcart {

namespace {

/// Maximum value of `Retry-After`.
constexpr duration retry_after_max{1500};

std::string error_body(result_code code)
{
    auto const& entry = entry_of(code);
    return fmt::format(
        R"({{"code":{},"name":"{}","ran":"{}"}})",
        static_cast<int>(code),
        entry.name,
        name_of(entry.ran));
}

} // namespace

void forward_session::expire()
{
    if (is_done_)
        return;
    // Marks the request as possibly run if it was sent.
    drop_connection(false);
    if (execution_ == execution_state::not_sent)
        refuse(result_code::overloaded, "deadline exceeded", retry_after());
    else
        fail(result_code::outcome_unknown, "deadline exceeded");
}

void forward_session::on_client_disconnected()
{
    if (is_done_)
        return;
    drop_connection(false);
    finish("caller_left", 0);
}

duration forward_session::retry_after() const
{
    return context_.random.between(
        retry_after_short, std::clamp(time_left() / 3, retry_after_long, retry_after_max));
}

void forward_session::refuse(
    result_code code,
    std::string_view detail,
    std::optional<duration> retry_after)
{
    http_headers headers;
    if (retry_after)
    {
        constexpr double milliseconds_per_second = 1000;
        headers.emplace_back(
            "Retry-After",
            fmt::format(
                "{:.2f}", static_cast<double>(retry_after->count()) / milliseconds_per_second));
    }
    finish_with_error(code, "refused", detail, std::move(headers));
}

void forward_session::fail(result_code code, std::string_view detail)
{
    finish_with_error(code, "failed", detail, {});
}

void forward_session::finish_with_error(
    result_code code,
    std::string_view verb,
    std::string_view detail,
    http_headers headers)
{
    auto const& entry = entry_of(code);
    spdlog::info("[forward] request={} {} {}: {}", request_.id, verb, entry.name, detail);
    headers.emplace_back("Content-Type", "application/json");
    if (is_response_started_)
        exchange_->abort();
    else
        exchange_->respond(entry.http_status, headers, error_body(code));
    finish(entry.name, entry.http_status);
}

void forward_session::drop_connection(bool is_complete)
{
    if (connection_ == nullptr)
        return;
    auto connection = std::exchange(connection_, nullptr);
    if (is_complete)
        context_.connections.release(in_flight_->target(), std::move(connection));
    else
    {
        if (connection->is_connected())
            execution_ = execution_state::may_have_run;
        context_.connections.discard(in_flight_->target(), std::move(connection));
    }
}

void forward_session::settle_tokens()
{
    if (reserved_tokens_ == 0)
        return;
    if (execution_ == execution_state::may_have_run)
    {
        auto const per_event = service_->engine ? service_->engine->tokens_per_event : 1;
        used_tokens_ =
            request_.prompt->input_tokens +
            std::min(request_.prompt->output_limit_tokens, events_.event_count() * per_event);
    }
    context_.prepaid.holder_of(account_->name)
        .settle(account_->name, std::exchange(reserved_tokens_, 0), used_tokens_);
}

void forward_session::finish(std::string_view outcome, int status)
{
    if (std::exchange(is_done_, true))
        return;
    deadline_timer_.cancel();
    response_timer_.cancel();
    in_flight_.reset();
    settle_tokens();
    auto const total = context_.loop.now() - arrived_;
    auto const kind = route_ == nullptr ? "none" : forwarding::name_of(route_->kind);
    context_.metrics.count_outcome(kind, outcome);
    context_.metrics.observe_total(kind, total);
    spdlog::info(
        "[forward] request={} outcome={} status={} route={} account={} configuration={} "
        "upstream={} "
        "attempts={} events={} tokens={} first_ms={} total_ms={} limit_ms={}",
        request_.id,
        outcome,
        status,
        route_ == nullptr ? "-" : route_->name,
        account_ == nullptr ? "-" : account_->name,
        configuration_ == nullptr ? 0 : configuration_->version(),
        last_upstream_.empty() ? "-" : last_upstream_,
        attempts_,
        events_.event_count(),
        used_tokens_,
        first_byte_time_ ? first_byte_time_->count() : -1,
        total.count(),
        (deadline_ - arrived_).count());
}

} // namespace almondcart
