#include "request_session.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>

namespace almondcart {

namespace {

/// Interval for polling a condition that another request or the log changes.
constexpr duration poll_interval{50};

/// Limit of consecutive reconnections to an agent whose heartbeats are still fresh.
constexpr int reconnect_limit = 5;
constexpr duration reconnect_delay{200};

} // namespace

request_session::request_session(
    router_context& context,
    client_request request,
    std::unique_ptr<client_response> response)
    : context_(context)
    , request_(std::move(request))
    , response_(std::move(response))
    , deadline_(context.loop.now() + request_.kind.deadline)
    , pool_(context.pools.find(request_.id.account.service, request_.kind.pool))
{}

request_session::~request_session() = default;

void request_session::start(std::function<void()> end_callback)
{
    end_callback_ = std::move(end_callback);
    response_->on_disconnect(
        [weak = weak_from_this()]
        {
            if (auto const self = weak.lock())
                self->handle_disconnect();
        });
    record_event("request_received", request_.kind.name);
    if (pool_ == nullptr)
    {
        refuse(result_code::no_upstream, "the pool of this kind of work has no upstreams");
        return;
    }
    start_when_key_is_free();
}

void request_session::start_when_key_is_free()
{
    if (context_.directory.try_begin(request_.id))
    {
        is_active_ = true;
        begin();
        return;
    }
    // Another session of this router handles the same key; once it has dispatched, this one can
    // attach to its work.
    auto const* known = context_.directory.find(request_.id);
    if (known != nullptr && known->fingerprint != request_.fingerprint)
    {
        refuse(result_code::request_key_reused, "the key belongs to a different request");
        return;
    }
    if (known != nullptr && attach_to(known->upstream, -1))
        return;
    if (has_deadline_passed())
    {
        refuse(result_code::outcome_unknown, "another call with this key is still in progress");
        return;
    }
    after(poll_interval, [this] { start_when_key_is_free(); });
}

void request_session::reserve()
{
    if (is_ended_)
        return;
    if (request_.worst_case == 0)
    {
        enqueue();
        return;
    }
    is_reserving_ = true;
    context_.holder.reserve(
        request_.id,
        attempt_,
        request_.budget,
        request_.worst_case,
        deadline_,
        [weak = weak_from_this()](absl::StatusOr<reservation> result)
        {
            if (auto const self = weak.lock())
                self->handle_reservation(std::move(result));
        });
    context_.broker.tick();
}

void request_session::handle_reservation(absl::StatusOr<reservation> result)
{
    is_reserving_ = false;
    if (result.ok())
    {
        reservation_ = *std::move(result);
        if (is_ended_)
            release_attempt();
        else
            enqueue();
        return;
    }
    auto const code = code_of(result.status());
    if (code == result_code::unknown_budget && !has_deadline_passed())
    {
        // The document is in force, but its limit has not reached the budget's shard yet.
        after(poll_interval, [this] { reserve(); });
        return;
    }
    std::optional<duration> retry_after;
    if (code == result_code::budget_unavailable)
        retry_after = duration(1000);
    refuse(make_refusal(code, message_of(result.status()), retry_after));
}

void request_session::enqueue()
{
    admission_entry entry;
    entry.account = to_text(request_.id.account);
    entry.kind = request_.kind.name;
    entry.priority = request_.kind.priority;
    entry.deadline = deadline_;
    upstream_pool::waiter waiter;
    waiter.dispatch = [this, weak = weak_from_this()]
    {
        // Posted, because the ticket is known only after `enqueue` has returned.
        context_.loop.post(
            [weak]
            {
                auto const self = weak.lock();
                if (!self || self->is_ended_)
                    return;
                self->has_slot_ = true;
                self->slot_granted();
            });
    };
    waiter.refuse = [weak = weak_from_this()](refusal const& refused)
    {
        auto const self = weak.lock();
        if (!self)
            return;
        self->ticket_ = 0;
        self->release_attempt();
        self->refuse(refused);
    };
    ticket_ = pool_->enqueue(entry, std::move(waiter));
    if (is_ended_)
        ticket_ = 0;
}

bool request_session::dispatch_to(std::string const& upstream, std::int64_t intent_offset)
{
    is_attached_ = false;
    if (reservation_)
    {
        auto current = context_.holder.dispatch(request_.id, attempt_);
        if (!current.ok())
        {
            // The grant was closed between reservation and dispatch.
            reservation_.reset();
            release_slot(false);
            next_attempt();
            return true;
        }
        reservation_ = *std::move(current);
    }
    return send(upstream, intent_offset);
}

bool request_session::attach_to(std::string const& upstream, std::int64_t intent_offset)
{
    is_attached_ = true;
    return send(upstream, intent_offset);
}

bool request_session::send(std::string const& upstream, std::int64_t intent_offset)
{
    auto const* member = context_.members.find_upstream(upstream);
    if (member == nullptr)
        return false;
    upstream_ = upstream;
    context_.directory.add(request_.id, {upstream, request_.fingerprint});
    // Output of a lost attempt must not be mixed with that of the next one.
    next_frame_ = 0;
    response_->discard();
    work_ = create_dispatch(member->agent, intent_offset);
    if (!is_attached_)
    {
        selector_epoch_ = pool_->selector().dispatched(upstream);
        is_counted_ = true;
    }
    record_event("dispatched", "attempt " + std::to_string(attempt_));
    send_call(member->address, work_);
    return true;
}

dispatch request_session::create_dispatch(process_id const& agent, std::int64_t intent_offset) const
{
    dispatch work;
    work.agent = agent;
    work.request = request_.id;
    work.attempt = attempt_;
    work.started_ms = context_.state.time_ms();
    if (reservation_ && !is_attached_)
    {
        work.grants = reservation_->parts;
        work.started_ms = reservation_->started_ms;
    }
    work.kind = request_.kind.name;
    work.is_suspect = runs_as_suspect_;
    work.is_idempotent = request_.kind.is_idempotent;
    work.prompt_tokens = request_.worst_case;
    if (request_.chat)
    {
        work.prompt_tokens = request_.chat->prompt_bound;
        work.output_cap = request_.chat->output_cap;
        work.is_stream = request_.chat->is_stream;
    }
    work.priority = request_.kind.priority;
    work.deadline_ms = std::max<std::int64_t>(0, (deadline_ - context_.loop.now()).count());
    work.method = request_.message.method;
    work.path = request_.upstream_path;
    if (!request_.message.query.empty())
        work.path += "?" + request_.message.query;
    work.content_type = request_.message.content_type;
    work.body = request_.message.body;
    work.fingerprint = request_.fingerprint;
    work.intent_offset = intent_offset;
    work.config_offset = context_.state.configuration().offset();
    work.from_frame = next_frame_;
    return work;
}

void request_session::send_call(std::string const& address, dispatch const& work)
{
    work_call::hooks hooks;
    hooks.on_line = [weak = weak_from_this()](work_line const& line)
    {
        if (auto const self = weak.lock())
            self->receive(line);
    };
    hooks.on_end = [weak = weak_from_this()](absl::Status const& status)
    {
        if (auto const self = weak.lock())
            self->handle_call_end(status);
    };
    call_ = work_call::start(context_.client, context_.journal, address, work, std::move(hooks));
}

void request_session::receive(work_line const& line)
{
    if (is_ended_)
        return;
    if (auto const* data = std::get_if<data_frame>(&line))
        receive_data(*data);
    else if (auto const* last = std::get_if<final_frame>(&line))
        receive_final(*last);
    else
        receive_refusal(std::get<work_refusal>(line));
}

void request_session::receive_data(data_frame const& frame)
{
    // A repeated call may send frames that were received before.
    if (frame.number != next_frame_)
        return;
    if (next_frame_ == 0 && has_slot_)
        pool_->first_byte(ticket_);
    ++next_frame_;
    reconnects_ = 0;
    response_->add(frame);
}

void request_session::receive_final(final_frame const& frame)
{
    call_.reset();
    // The usage is settled first, so that this router holds it as well as the agent when the
    // response completes.
    settle(frame);
    if (frame.code != result_code::ok)
    {
        may_have_run_ = true;
        attempt_failed(frame);
        return;
    }
    attempt_completed(frame);
    record_event("request_completed", std::to_string(frame.usage.total()) + " tokens");
    response_->finish(frame);
    end();
}

void request_session::receive_refusal(work_refusal const& refused)
{
    call_.reset();
    record_event("attempt_refused", std::string(name_of(refused.code)) + ": " + refused.detail);
    switch (refused.code)
    {
    case result_code::answer_expired:
    case result_code::request_key_reused:
    case result_code::request_crashes_upstreams:
        release_attempt();
        refuse(refused.code, refused.detail);
        return;
    case result_code::grant_closed:
        if (reservation_ && reservation_->parts.size() == 1)
            context_.holder.grant_refused(request_.budget, reservation_->parts.front().grant);
        break;
    default:
        break;
    }
    release_attempt();
    attempt_refused(refused);
}

void request_session::handle_call_end(absl::Status const& status)
{
    if (is_ended_ || !call_)
        return;
    call_.reset();
    if (is_request_unsent(status) && reconnects_ == 0 && next_frame_ == 0)
    {
        release_attempt();
        attempt_unsent();
        return;
    }
    reconnect();
}

void request_session::reconnect()
{
    auto const* member = context_.members.find_upstream(upstream_);
    bool const is_same_agent = member != nullptr && member->agent == work_.agent;
    auto const state = context_.members.state_of(upstream_);
    bool const is_heartbeat_fresh =
        state != upstream_state::heartbeats_missed && state != upstream_state::unknown;
    if (!is_same_agent || !is_heartbeat_fresh || reconnects_ >= reconnect_limit)
    {
        record_event("attempt_lost", "no contact to the agent");
        attempt_lost();
        return;
    }
    ++reconnects_;
    after(
        reconnect_delay,
        [this]
        {
            auto const* it = context_.members.find_upstream(upstream_);
            if (it == nullptr)
            {
                attempt_lost();
                return;
            }
            work_.from_frame = next_frame_;
            send_call(it->address, work_);
        });
}

void request_session::settle(final_frame const& frame)
{
    bool const is_measured = frame.code == result_code::ok;
    if (reservation_ && frame.parts == first_tokens_of(reservation_->parts, frame.usage.total()))
    {
        context_.holder.settle(*reservation_, frame.usage.total());
        reservation_.reset();
    }
    else
    {
        // The answer belongs to an earlier dispatch. Its usage is submitted again, which is safe
        // because a request is billed only once.
        release_attempt();
        auto const* known =
            context_.state.shard_of_account(request_.id.account).find_request(request_.id);
        bool const is_billed = known != nullptr && known->is_billed;
        if (!is_billed && !frame.parts.empty())
            context_.submit(usage_record{{usage_item{request_.id, frame.started_ms, frame.parts}}});
    }
    release_slot(is_measured);
}

void request_session::release_attempt()
{
    if (reservation_)
    {
        context_.holder.release(*reservation_);
        reservation_.reset();
    }
    release_slot(false);
}

void request_session::abandon_attempt()
{
    may_have_run_ = true;
    if (reservation_)
    {
        context_.holder.abandon(*reservation_);
        reservation_.reset();
    }
    release_slot(false);
}

void request_session::release_slot(bool is_measured)
{
    if (is_counted_)
    {
        pool_->selector().finished(upstream_, selector_epoch_);
        is_counted_ = false;
    }
    if (ticket_ == 0)
        return;
    if (has_slot_)
        pool_->finished(ticket_, is_measured);
    else
        pool_->cancel(ticket_);
    ticket_ = 0;
    has_slot_ = false;
}

void request_session::next_attempt(int at_least)
{
    attempt_ = std::max(attempt_ + 1, at_least);
    reconnects_ = 0;
    reserve();
}

void request_session::refuse(refusal refused)
{
    if (is_ended_)
        return;
    // Under a reused key only the earlier request may have run, never this one.
    bool const is_key_reused = refused.code == result_code::request_key_reused;
    if (may_have_run_ && refused.ran == execution_state::no && !is_key_reused)
        refused.ran = execution_state::unknown;
    record_event("request_refused", std::string(name_of(refused.code)) + ": " + refused.detail);
    spdlog::info(
        "[http] Refused request {} with {} (ran: {}): {}.",
        to_text(request_.id),
        static_cast<int>(refused.code),
        name_of(refused.ran),
        refused.detail);
    response_->refuse(refused);
    end();
}

void request_session::handle_disconnect()
{
    if (is_ended_)
        return;
    record_event("caller_gone", "");
    // The agent keeps the output in case the client repeats the request, and the usage until it is
    // billed. The router still waits for the end of the attempt, so that it can settle the
    // reservation.
    if (!call_ && request_.kind.is_idempotent)
    {
        release_attempt();
        end();
    }
}

void request_session::end()
{
    if (is_ended_)
        return;
    is_ended_ = true;
    if (is_reserving_)
        context_.holder.cancel(request_.id, attempt_);
    if (call_)
    {
        call_->cancel();
        call_.reset();
        abandon_attempt();
    }
    else
    {
        release_attempt();
    }
    if (is_active_)
        context_.directory.end(request_.id);
    is_active_ = false;
    context_.loop.post(std::move(end_callback_));
}

void request_session::after(duration delay, std::function<void()> function)
{
    // The timer shares ownership of the session, so that one without a call in progress stays
    // alive.
    context_.loop.after(
        delay,
        [self = shared_from_this(), function = std::move(function)]
        {
            if (!self->is_ended_)
                function();
        });
}

void request_session::record_event(std::string_view name, std::string detail)
{
    event entry;
    entry.part = "request";
    entry.name = std::string(name);
    entry.request = to_text(request_.id);
    if (!request_.budget.budget.empty())
        entry.budget = to_text(request_.budget);
    entry.upstream = upstream_;
    entry.detail = std::move(detail);
    context_.journal.record(std::move(entry));
}

} // namespace almondcart
