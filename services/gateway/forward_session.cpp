#include "forward_session.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace almondcart {

namespace {

using forwarding::request_kind;
using forwarding::reservation_result;
using http1::exchange_outcome;

/// Timeout for connecting to an upstream.
constexpr duration connect_timeout{400};

/// Divides the remaining time to get the response timeout of an attempt that may be retried, so
/// that time is left for the retries.
constexpr int response_timeout_divisor = 3;

/// Timeout for drawing tokens, which is sufficient even for a slow log.
constexpr duration draw_timeout{300};

/// Subtracted from the client's timeout, so that the response arrives before the client gives up.
constexpr duration response_margin{10};

} // namespace

forward_session::forward_session(
    gateway_context& context,
    std::shared_ptr<http1::inbound_exchange> exchange)
    : context_(context)
    , exchange_(std::move(exchange))
    , configuration_(context.configuration)
    , arrived_(context.loop.now())
    , deadline_(arrived_)
    , response_account_(context.buffers)
{}

forward_session::~forward_session()
{
    deadline_timer_.cancel();
    response_timer_.cancel();
}

void forward_session::start()
{
    if (!admit())
        return;
    exchange_->on_disconnect(
        [weak = weak_from_this()]
        {
            if (auto const self = weak.lock())
                self->on_client_disconnected();
        });
    exchange_->on_drained(
        [weak = weak_from_this()]
        {
            auto const self = weak.lock();
            if (self && std::exchange(self->is_upstream_slowed_, false) && self->connection_)
                self->connection_->resume_reading();
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
        refuse(result_code::not_ready, "no configuration has been loaded yet", retry_after_short);
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
    deadline_ = arrived_ + limit - response_margin;
    if (context_.would_outlast_shutdown(limit))
    {
        refuse(result_code::shutting_down, "the gateway is shutting down", retry_after_short);
        return false;
    }
    if (!find_account())
        return false;
    choose_service();
    features_ = features_of(request_, caller(), exchange_->body());
    return service_ == nullptr || !refuse_if_quarantined();
}

bool forward_session::refuse_if_quarantined()
{
    auto const& quarantine = context_.crashes.quarantine();
    auto const feature = quarantine.find(service_->name, features_);
    if (!feature)
        return false;
    if (execution_ == execution_state::may_have_run)
        fail(
            result_code::upstream_lost,
            "requests like this one crash upstreams: " + feature->text());
    else
        refuse(
            result_code::request_quarantined,
            feature->text(),
            quarantine.time_left(service_->name, *feature));
    return true;
}

bool forward_session::find_account()
{
    if (route_->is_public || !configuration_->has_accounts())
        return true;
    account_ = configuration_->find_account(request_.key);
    if (account_ == nullptr)
        refuse(
            result_code::unknown_account, "the API key belongs to no client account", std::nullopt);
    return account_ != nullptr;
}

void forward_session::choose_service()
{
    std::int64_t total_weight = 0;
    for (auto const& it : route_->shares)
        total_weight += it.weight;
    auto remaining_weight =
        total_weight > 0 ? static_cast<std::int64_t>(
                               context_.random.next() % static_cast<std::uint64_t>(total_weight))
                         : 0;
    for (auto const& it : route_->shares)
    {
        service_ = configuration_->find_service(it.service);
        remaining_weight -= it.weight;
        if (remaining_weight < 0)
            break;
    }
}

forwarding::prompt_info const* forward_session::prompt() const
{
    bool const is_engine = service_ != nullptr && service_->engine.has_value();
    return is_engine && request_.prompt ? &*request_.prompt : nullptr;
}

std::string_view forward_session::caller() const
{
    return account_ != nullptr ? account_->name : request_.key;
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
        refuse(
            result_code::no_upstream,
            "the service of the route is not configured",
            retry_after_long);
        return;
    }
    context_.retry_budget_of(service_->name).count_request();
    if (account_ == nullptr || !request_.prompt || !account_->prepaid_tokens)
    {
        attempt();
        return;
    }
    auto const tokens = request_.prompt->worst_case_tokens();
    context_.prepaid.holder_of(account_->name)
        .reserve(
            account_->name,
            tokens,
            std::min(draw_timeout, time_left() / 2),
            [self = shared_from_this(), tokens](reservation_result result)
            {
                if (result == reservation_result::granted)
                    self->reserved_tokens_ = tokens;
                if (self->is_done_)
                    self->settle_tokens();
                else if (result == reservation_result::granted)
                    self->attempt();
                else if (result == reservation_result::exhausted)
                    self->refuse(
                        result_code::budget_exhausted,
                        self->describe_prepaid_state(tokens),
                        std::nullopt);
                else
                    self->refuse(
                        result_code::budget_unavailable,
                        "tokens could not be drawn in time, " +
                            self->describe_prepaid_state(tokens),
                        self->retry_after());
            });
}

std::string forward_session::describe_prepaid_state(std::int64_t needed) const
{
    auto const& holder = context_.prepaid.holder_of(account_->name);
    return fmt::format(
        "needs={} holds={} spendable={} demand_per_s={} total={} claimed={} log_offset={}",
        needed,
        holder.free_tokens(account_->name),
        holder.spendable_tokens(account_->name),
        holder.demand_per_s(account_->name),
        *account_->prepaid_tokens,
        holder.ledger().claimed(account_->name),
        holder.ledger().end());
}

void forward_session::attempt()
{
    response_ = {};
    response_body_.clear();
    is_upstream_slowed_ = false;
    // The end of the previous attempt is announced before the next choice, which may wait.
    in_flight_.reset();
    permit_ = {};
    if (!refuse_if_quarantined())
        select_upstream();
}

void forward_session::select_upstream()
{
    context_.placement.select(
        {service_->name, prompt(), &tried_},
        [self = shared_from_this()](forwarding::upstream_pointer target)
        {
            if (!self->is_done_ && self->acquire_connection(self->reserve_send(std::move(target))))
                self->send();
        });
}

forwarding::upstream_pointer forward_session::reserve_send(forwarding::upstream_pointer target)
{
    while (target != nullptr)
    {
        if (auto permit = context_.cold_starts.try_reserve(target))
        {
            permit_ = *std::move(permit);
            return target;
        }
        tried_.push_back(target->entry.id);
        target = context_.picker.pick({service_->name, prompt(), &tried_});
    }
    return nullptr;
}

bool forward_session::acquire_connection(forwarding::upstream_pointer target)
{
    if (target == nullptr)
    {
        if (execution_ == execution_state::may_have_run)
            fail(result_code::upstream_lost, "no other upstream accepts the request");
        else if (!refuse_if_drained() && !refuse_if_paused())
            refuse(result_code::no_upstream, "no upstream accepts requests", retry_after());
        return false;
    }
    auto const longest_idle = route_->is_retryable()
                                  ? upstream_connections::idle_limit
                                  : upstream_connections::idle_limit_non_retryable;
    auto const limit = static_cast<std::size_t>(std::max(1, service_->connection_limit / 2));
    connection_ = context_.connections.acquire(*target, limit, longest_idle);
    if (connection_ == nullptr)
    {
        constexpr char const* detail = "all connections to the upstream are in use";
        if (execution_ == execution_state::may_have_run)
            fail(result_code::upstream_lost, detail);
        else
            refuse(result_code::overloaded, detail, retry_after());
        return false;
    }
    last_upstream_ = target->entry.id;
    tried_.push_back(last_upstream_);
    in_flight_ = context_.picker.begin(std::move(target), request_.id, prompt());
    return true;
}

bool forward_session::refuse_if_drained()
{
    if (!context_.picker.is_drained(service_->name))
        return false;
    context_.metrics.count_drain_refusal();
    refuse(result_code::no_upstream, "all upstreams are in drained zones", retry_after());
    return true;
}

bool forward_session::may_send()
{
    // A drain may have begun since the upstream was chosen, or the upstream may have turned cold.
    auto const& zone = in_flight_->target().entry.availability_zone;
    return !context_.drained.contains(zone) && permit_.confirm();
}

bool forward_session::refuse_if_paused()
{
    auto const end = context_.picker.common_pause_end(service_->name);
    if (!end)
        return false;
    // Clients that come back at different times do not end the pause with a burst.
    auto const jitter = context_.random.between(duration(0), retry_after_long);
    refuse(
        result_code::overloaded,
        "all upstreams asked for a pause",
        *end - context_.loop.now() + jitter);
    return true;
}

std::string forward_session::encode_head() const
{
    auto const resume_after =
        events_.last_id() ? std::to_string(*events_.last_id()) : request_.resume_after;
    forwarding::attempt_context context;
    context.upstream_id = last_upstream_;
    if (account_ != nullptr)
        context.account = account_->name;
    context.time_left = time_left();
    context.priority = priority();
    context.resume_after = resume_after;
    std::string text = request_.method + " " + request_.target + " HTTP/1.1\r\n";
    http1::append_headers(text, context_.codec.encode_attempt(request_, context));
    auto const body = exchange_->body();
    if (!body.empty() || request_.method == "POST" || request_.method == "PUT")
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    text += "\r\n";
    return text;
}

void forward_session::send()
{
    ++attempts_;
    sent_at_ = context_.loop.now();
    if (connection_->is_connected() && !may_send())
    {
        on_withheld();
        return;
    }
    http1::outbound_connection::exchange_callbacks callbacks;
    callbacks.may_send = [self = shared_from_this()] { return self->may_send(); };
    callbacks.on_head = [self = shared_from_this()](http1::response_head const& head)
    { return self->on_head(head); };
    callbacks.on_body = [self = shared_from_this()](std::string_view data) { self->on_body(data); };
    callbacks.on_end = [self = shared_from_this()](exchange_outcome outcome)
    { self->on_end(outcome); };
    connection_->send(
        request_.method, encode_head(), exchange_->body(), exchange_, std::move(callbacks));
    bool const may_retry = route_->is_retryable() && attempts_ < route_->attempt_limit;
    auto const response_timeout = may_retry ? time_left() / response_timeout_divisor : time_left();
    arm_response_timer(std::min(response_timeout, connect_timeout), response_timeout);
}

void forward_session::arm_response_timer(duration connect_timeout_left, duration response_timeout)
{
    response_timer_.cancel();
    bool const is_connected = connection_->is_connected();
    response_timer_ = context_.loop.after(
        is_connected ? response_timeout : connect_timeout_left,
        [self = shared_from_this(), is_connected, connect_timeout_left, response_timeout]
        {
            if (self->connection_ == nullptr || self->is_done_)
                return;
            if (is_connected || !self->connection_->is_connected())
                self->abandon_unresponsive_upstream();
            else
                self->arm_response_timer(
                    connect_timeout_left, response_timeout - connect_timeout_left);
        });
}

void forward_session::abandon_unresponsive_upstream()
{
    bool const is_connected = connection_->is_connected();
    drop_connection(false);
    on_attempt_lost(
        is_connected ? exchange_outcome::not_answered : exchange_outcome::not_connected);
}

} // namespace almondcart
