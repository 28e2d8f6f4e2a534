#include "forward_session.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace almondcart {

namespace {

using forwarding::attempt_result;
using forwarding::request_kind;
using forwarding::reservation;
using http1::exchange_end;

/// Time after which an upstream that does not accept a connection counts as down.
constexpr duration connect_timeout{400};

/// Connections that may fail before a request is refused.
constexpr int connect_failure_limit = 4;

/// Part of the time left after which a silent upstream is given up, if the request may be repeated.
constexpr int silence_divisor = 3;

/// Time in which a draw on the log usually ends, also when the log is slow.
constexpr duration draw_patience{300};

/// Kept back from the caller's time, so that the answer arrives before it leaves.
constexpr duration answer_margin{10};

constexpr duration retry_soon{200};
constexpr duration retry_later{700};
constexpr duration retry_after_longest{1500};

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

forward_session::forward_session(
    gateway_context& context,
    std::shared_ptr<http1::inbound_exchange> exchange)
    : context_(context)
    , exchange_(std::move(exchange))
    , configuration_(context.configuration)
    , arrived_(context.loop.now())
    , deadline_(arrived_)
{}

forward_session::~forward_session()
{
    deadline_timer_.cancel();
    silence_timer_.cancel();
}

void forward_session::start()
{
    if (!admit())
        return;
    exchange_->on_disconnect(
        [weak = weak_from_this()]
        {
            if (auto const self = weak.lock())
                self->on_client_gone();
        });
    deadline_timer_ =
        context_.loop.after(time_left(), [self = shared_from_this()] { self->expire(); });
    reserve_tokens();
}

bool forward_session::admit()
{
    auto const& head = exchange_->head();
    auto request = context_.codec.decode_request(head.method, head.target, head.headers);
    if (!request.ok())
    {
        refuse(result_code::malformed_request, message_of(request.status()), std::nullopt);
        return false;
    }
    request_ = *std::move(request);
    if (configuration_ == nullptr)
    {
        refuse(result_code::not_ready, "no configuration is known yet", retry_soon);
        return false;
    }
    route_ = configuration_->find_route(request_.host, request_.path());
    if (route_ == nullptr)
    {
        refuse(result_code::unknown_service, "no route matches", std::nullopt);
        return false;
    }
    auto limit = route_->timeout;
    if (request_.time_limit && (limit <= duration(0) || *request_.time_limit < limit))
        limit = *request_.time_limit;
    deadline_ = arrived_ + limit - answer_margin;
    if (context_.is_too_late_for(limit))
    {
        refuse(result_code::shutting_down, "the router is stopping", retry_soon);
        return false;
    }
    if (!find_account())
        return false;
    choose_service();
    return true;
}

bool forward_session::find_account()
{
    if (route_->is_public || !configuration_->has_accounts())
        return true;
    account_ = configuration_->find_account(request_.key);
    if (account_ == nullptr)
        refuse(result_code::unknown_account, "no client account holds the key", std::nullopt);
    return account_ != nullptr;
}

void forward_session::choose_service()
{
    int total = 0;
    for (auto const& it : route_->shares)
        total += it.weight;
    auto draw = total > 0 ? static_cast<int>(context_.next_random() % total) : 0;
    for (auto const& it : route_->shares)
    {
        service_ = configuration_->find_service(it.service);
        draw -= it.weight;
        if (draw < 0)
            break;
    }
}

forwarding::prompt const* forward_session::size() const
{
    bool const is_engine = service_ != nullptr && service_->engine.has_value();
    return is_engine && request_.size ? &*request_.size : nullptr;
}

int forward_session::priority() const
{
    return account_ != nullptr && account_->priority ? *account_->priority : route_->priority;
}

duration forward_session::time_left() const
{
    return std::max(duration(0), deadline_ - context_.loop.now());
}

bool forward_session::is_streaming() const
{
    return route_->kind == request_kind::stream;
}

void forward_session::reserve_tokens()
{
    if (service_ == nullptr)
    {
        refuse(result_code::no_upstream, "the configuration has no such service", retry_later);
        return;
    }
    context_.retries_of(service_->name).count_request();
    if (account_ == nullptr || !request_.size || !account_->prepaid_tokens)
    {
        attempt();
        return;
    }
    auto const tokens = request_.size->worst_case_tokens();
    context_.prepaid.of(account_->name)
        .reserve(
            account_->name,
            tokens,
            std::min(draw_patience, time_left() / 2),
            [self = shared_from_this(), tokens](reservation result)
            {
                if (result == reservation::granted)
                    self->reserved_tokens_ = tokens;
                if (self->is_done_)
                    self->settle_tokens();
                else if (result == reservation::granted)
                    self->attempt();
                else if (result == reservation::exhausted)
                    self->refuse(
                        result_code::budget_exhausted, self->describe_budget(tokens), std::nullopt);
                else
                    self->refuse(
                        result_code::budget_unavailable,
                        "the log did not answer a draw, " + self->describe_budget(tokens),
                        self->retry_after());
            });
}

std::string forward_session::describe_budget(std::int64_t needed) const
{
    auto const& ledger = context_.prepaid.of(account_->name).ledger();
    return fmt::format(
        "needs={} holds={} total={} drawn={} log_offset={}",
        needed,
        context_.prepaid.of(account_->name).free_tokens(account_->name),
        *account_->prepaid_tokens,
        ledger.drawn(account_->name),
        ledger.end());
}

void forward_session::attempt()
{
    answer_ = {};
    answer_body_.clear();
    if (!acquire_connection())
        return;
    send();
}

bool forward_session::acquire_connection()
{
    forwarding::pick_request const wanted{service_->name, size(), &tried_};
    auto target = context_.picker.pick(wanted);
    if (target == nullptr)
    {
        if (run_ == run_state::maybe_run)
            fail(result_code::upstream_lost, "no further upstream takes the request");
        else
            refuse(result_code::no_upstream, "no upstream takes work", retry_after());
        return false;
    }
    auto const longest_idle = route_->is_repeatable()
                                  ? upstream_connections::idle_limit
                                  : upstream_connections::idle_limit_non_repeatable;
    auto const limit = static_cast<std::size_t>(std::max(1, service_->connection_limit / 2));
    connection_ = context_.connections.acquire(*target, limit, longest_idle);
    if (connection_ == nullptr)
    {
        refuse(
            result_code::overloaded, "all connections to the upstream are in use", retry_after());
        return false;
    }
    last_upstream_ = target->entry.id;
    tried_.push_back(last_upstream_);
    ticket_ = context_.picker.begin(std::move(target), size());
    return true;
}

std::string forward_session::encode_request() const
{
    auto const resume_after =
        events_.last_id() ? std::to_string(*events_.last_id()) : request_.resume_after;
    forwarding::attempt_facts facts;
    facts.upstream_id = last_upstream_;
    if (account_ != nullptr)
        facts.account = account_->name;
    facts.time_left = time_left();
    facts.priority = priority();
    facts.resume_after = resume_after;
    std::string text = request_.method + " " + request_.target + " HTTP/1.1\r\n";
    http1::append_headers(text, context_.codec.encode_attempt(request_, facts));
    auto const& body = exchange_->body();
    if (!body.empty() || request_.method == "POST" || request_.method == "PUT")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n";
    text += body;
    return text;
}

void forward_session::send()
{
    ++attempts_;
    http1::outbound_connection::exchange_callbacks callbacks;
    callbacks.on_head = [self = shared_from_this()](http1::response_head const& head)
    { return self->on_head(head); };
    callbacks.on_body = [self = shared_from_this()](std::string_view data) { self->on_body(data); };
    callbacks.on_end = [self = shared_from_this()](exchange_end end) { self->on_end(end); };
    connection_->send(request_.method, encode_request(), std::move(callbacks));
    bool const may_give_up = route_->is_repeatable() && attempts_ < route_->attempt_limit;
    auto const silence = may_give_up ? time_left() / silence_divisor : time_left();
    watch_silence(std::min(silence, connect_timeout), silence);
}

void forward_session::watch_silence(duration connect_limit, duration answer_limit)
{
    silence_timer_.cancel();
    bool const is_connected = connection_->is_connected();
    silence_timer_ = context_.loop.after(
        is_connected ? answer_limit : connect_limit,
        [self = shared_from_this(), is_connected, connect_limit, answer_limit]
        {
            if (self->connection_ == nullptr || self->is_done_)
                return;
            if (is_connected || !self->connection_->is_connected())
                self->give_up_silent_upstream();
            else
                self->watch_silence(connect_limit, answer_limit - connect_limit);
        });
}

void forward_session::give_up_silent_upstream()
{
    bool const is_connected = connection_->is_connected();
    drop_connection(false);
    on_lost(is_connected ? exchange_end::not_answered : exchange_end::not_connected);
}

bool forward_session::on_head(http1::response_head const& head)
{
    auto answer = context_.codec.decode_answer(head.status, head.headers);
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
        if (!answer_.has_seal)
            return;
        is_answer_started_ = true;
        exchange_->start(answer_.status, answer_.forwarded);
    }
    if (ticket_)
        ticket_->set_prompt_read();
    exchange_->send(events);
}

void forward_session::on_end(exchange_end end)
{
    silence_timer_.cancel();
    if (is_done_)
        return;
    context_.metrics.count_attempt(http1::name_of(end));
    drop_connection(end == exchange_end::complete);
    if (end != exchange_end::complete)
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
        on_lost(exchange_end::broken_off);
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
        ticket_->target(), is_failure ? attempt_result::failed_answer : attempt_result::success);
    if (answer_.is_success() && !answer_.has_seal)
        on_lost(exchange_end::malformed);
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
        ticket_->target(), answer_.is_other_upstream ? attempt_result::lost : attempt_result::full);
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
    return route_->is_repeatable() && attempts_ < route_->attempt_limit &&
           time_left() > duration(0) &&
           context_.retries_of(service_->name).try_retry({true, false});
}

void forward_session::on_lost(exchange_end end)
{
    if (ticket_)
        context_.picker.record(ticket_->target(), attempt_result::lost);
    events_.discard_pending();
    if (end == exchange_end::not_connected)
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

void forward_session::expire()
{
    if (is_done_)
        return;
    bool const is_unsent = run_ == run_state::not_sent && connection_ == nullptr;
    drop_connection(false);
    if (is_unsent)
        refuse(result_code::overloaded, "the time limit passed", retry_after());
    else
        fail(result_code::outcome_unknown, "the time limit passed");
}

void forward_session::on_client_gone()
{
    if (is_done_)
        return;
    if (connection_ != nullptr)
        run_ = run_state::maybe_run;
    drop_connection(false);
    finish("caller_left", 0);
}

duration forward_session::retry_after() const
{
    return context_.spread(
        retry_soon, std::clamp(time_left() / 3, retry_later, retry_after_longest));
}

void forward_session::refuse(
    result_code code,
    std::string_view detail,
    std::optional<duration> retry_after)
{
    http_headers headers{{"Content-Type", "application/json"}};
    if (retry_after)
    {
        constexpr double milliseconds_per_second = 1000;
        headers.emplace_back(
            "Retry-After",
            fmt::format(
                "{:.2f}", static_cast<double>(retry_after->count()) / milliseconds_per_second));
    }
    auto const& entry = entry_of(code);
    spdlog::info("[forward] request={} refused {}: {}", request_.id, entry.name, detail);
    if (is_answer_started_)
        exchange_->abort();
    else
        exchange_->respond(entry.http_status, headers, error_body(code));
    finish(entry.name, entry.http_status);
}

void forward_session::fail(result_code code, std::string_view detail)
{
    auto const& entry = entry_of(code);
    spdlog::info("[forward] request={} failed {}: {}", request_.id, entry.name, detail);
    if (is_answer_started_)
        exchange_->abort();
    else
        exchange_->respond(
            entry.http_status, {{"Content-Type", "application/json"}}, error_body(code));
    finish(entry.name, entry.http_status);
}

void forward_session::drop_connection(bool is_finished)
{
    if (connection_ == nullptr)
        return;
    auto connection = std::exchange(connection_, nullptr);
    if (is_finished)
        context_.connections.release(ticket_->target(), std::move(connection));
    else
    {
        if (connection->is_connected())
            run_ = run_state::maybe_run;
        context_.connections.discard(ticket_->target(), std::move(connection));
    }
}

void forward_session::settle_tokens()
{
    if (reserved_tokens_ == 0)
        return;
    std::int64_t used = 0;
    if (run_ == run_state::maybe_run)
    {
        auto const per_event = service_->engine ? service_->engine->tokens_per_event : 1;
        used = request_.size->input_tokens +
               std::min(request_.size->output_limit_tokens, events_.event_count() * per_event);
    }
    context_.prepaid.of(account_->name)
        .settle(account_->name, std::exchange(reserved_tokens_, 0), used);
}

void forward_session::finish(std::string_view outcome, int status)
{
    if (std::exchange(is_done_, true))
        return;
    deadline_timer_.cancel();
    silence_timer_.cancel();
    auto const total = context_.loop.now() - arrived_;
    auto const kind = route_ == nullptr ? "none" : forwarding::name_of(route_->kind);
    context_.metrics.count_outcome(kind, outcome);
    context_.metrics.observe_total(kind, total);
    spdlog::info(
        "[forward] request={} outcome={} status={} route={} account={} configuration={} "
        "upstream={} "
        "attempts={} events={} first_ms={} total_ms={} limit_ms={}",
        request_.id,
        outcome,
        status,
        route_ == nullptr ? "-" : route_->name,
        account_ == nullptr ? "-" : account_->name,
        configuration_ == nullptr ? 0 : configuration_->version(),
        last_upstream_.empty() ? "-" : last_upstream_,
        attempts_,
        events_.event_count(),
        first_byte_time_ ? first_byte_time_->count() : -1,
        total.count(),
        (deadline_ - arrived_).count());
    ticket_.reset();
    settle_tokens();
}

} // namespace almondcart
