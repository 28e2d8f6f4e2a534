#include "non_idempotent_session.hpp"

#include <utility>

namespace almondcart {

namespace {

/// Larger response bodies are not recorded on the log; only the agent keeps them.
constexpr std::size_t outcome_body_limit = 16UL * 1024;

constexpr int refusal_limit = 3;
constexpr duration state_poll_interval{10};
constexpr duration unsent_retry_delay{100};
constexpr duration log_retry_after{5'000};
constexpr duration no_upstream_retry_after{1'000};

} // namespace

request_entry const* non_idempotent_session::find_entry() const
{
    return context_.state.shard_of_account(request_.id.account).find_request(request_.id);
}

void non_idempotent_session::begin()
{
    auto const* entry = find_entry();
    if (entry != nullptr && entry->intent && entry->intent->fingerprint != request_.fingerprint)
    {
        refuse(result_code::request_key_reused, "the key belongs to a different request");
        return;
    }
    if (entry != nullptr && entry->outcome)
    {
        send_recorded_answer(*entry->outcome);
        return;
    }
    if (entry != nullptr && entry->intent)
    {
        follow_intent(*entry->intent, entry->intent_offset);
        return;
    }
    if (entry != nullptr)
        attempt_ = entry->voided_attempts + 1;
    reserve();
}

void non_idempotent_session::send_recorded_answer(outcome_record const& outcome)
{
    may_have_run_ = true;
    if (outcome.state == outcome_state::unknown)
    {
        refuse_with_unknown_outcome("an earlier call with this key was lost; it is not run again");
        return;
    }
    record_event("outcome_repeated", "recorded on the log");
    response_->finish_recorded(outcome.status, outcome.content_type, outcome.body);
    end();
}

void non_idempotent_session::follow_intent(intent_record const& intent, std::int64_t offset)
{
    may_have_run_ = true;
    attempt_ = intent.attempt;
    intended_agent_ = intent.agent;
    intent_offset_ = offset;
    auto const& agents = context_.state.shard_of_account(request_.id.account).agents();
    auto const agent = agents.find(intent.agent);
    if (agent == agents.end() || agent->second.stopped_at >= 0)
    {
        record_unknown_outcome();
        refuse_with_unknown_outcome("the agent that was to run the request is gone");
        return;
    }
    intended_upstream_ = agent->second.upstream;
    auto const* member = context_.members.find_upstream(intended_upstream_);
    if (member == nullptr || member->agent != intent.agent)
    {
        refuse_with_unknown_outcome("the agent that was to run the request cannot be reached");
        return;
    }
    record_event("intent_followed", "attempt " + std::to_string(attempt_));
    attach_to(intended_upstream_, intent_offset_);
}

void non_idempotent_session::slot_granted()
{
    auto const selected = pool_->selector().select({{}, {}, {}, avoided_upstreams_});
    if (!selected)
    {
        refuse(
            make_refusal(result_code::no_upstream, "no usable upstream", no_upstream_retry_after));
        return;
    }
    submit_intent(selected->upstream);
}

void non_idempotent_session::submit_intent(std::string const& upstream)
{
    auto const* member = context_.members.find_upstream(upstream);
    intended_agent_ = member->agent;
    intended_upstream_ = upstream;
    intent_record intent;
    intent.request = request_.id;
    intent.attempt = attempt_;
    intent.agent = intended_agent_;
    intent.fingerprint = request_.fingerprint;
    intent.started_ms = context_.state.time_ms();
    context_.submit(std::move(intent));
    record_event("intent_submitted", "attempt " + std::to_string(attempt_));
    wait_for_intent();
}

void non_idempotent_session::wait_for_intent()
{
    auto const* entry = find_entry();
    if (entry != nullptr && entry->intent && entry->intent->attempt >= attempt_)
    {
        auto const intent = *entry->intent;
        if (intent.fingerprint != request_.fingerprint)
        {
            refuse(result_code::request_key_reused, "the key belongs to a different request");
            return;
        }
        if (!is_own_intent(intent))
        {
            release_attempt();
            follow_intent(intent, entry->intent_offset);
            return;
        }
        intent_offset_ = entry->intent_offset;
        if (!dispatch_to(intended_upstream_, intent_offset_))
            attempt_unsent();
        return;
    }
    if (has_deadline_passed())
    {
        // The intent may still reach the log, but only this session, which ends here, would
        // dispatch the attempt.
        refuse(make_refusal(
            result_code::intent_not_durable,
            "the log did not confirm the intent",
            log_retry_after));
        return;
    }
    after(state_poll_interval, [this] { wait_for_intent(); });
}

bool non_idempotent_session::is_own_intent(intent_record const& intent) const
{
    return intent.attempt == attempt_ && intent.agent == intended_agent_;
}

void non_idempotent_session::attempt_refused(work_refusal const& refused)
{
    if (refused.code == result_code::stale_incarnation)
    {
        // Another incarnation replied, which proves nothing about the one that the intent names.
        record_unknown_outcome();
        refuse_with_unknown_outcome("the agent that was to run the request is gone");
        return;
    }
    context_.submit(void_record{request_.id, attempt_});
    if (++refusals_ > refusal_limit || has_deadline_passed())
    {
        refuse(make_refusal(
            result_code::no_upstream,
            "the upstreams refused the request",
            no_upstream_retry_after));
        return;
    }
    avoided_upstreams_.push_back(intended_upstream_);
    wait_for_void(attempt_);
}

void non_idempotent_session::wait_for_void(int attempt)
{
    auto const* entry = find_entry();
    if (entry != nullptr && entry->voided_attempts >= attempt)
    {
        may_have_run_ = false;
        attempt_ = entry->voided_attempts;
        if (entry->intent && entry->intent->attempt > attempt_)
            follow_intent(*entry->intent, entry->intent_offset);
        else
            next_attempt();
        return;
    }
    if (has_deadline_passed())
    {
        refuse(make_refusal(
            result_code::intent_not_durable,
            "the log did not confirm the next try",
            log_retry_after));
        return;
    }
    after(state_poll_interval, [this, attempt] { wait_for_void(attempt); });
}

void non_idempotent_session::attempt_unsent()
{
    // The intent allows this agent to run the attempt, and a repeated call may have reached it
    // through another router, so an unsent dispatch does not prove that nothing ran.
    may_have_run_ = true;
    auto const* member = context_.members.find_upstream(intended_upstream_);
    if (has_deadline_passed() || member == nullptr || member->agent != intended_agent_)
    {
        refuse_with_unknown_outcome("the agent that was to run the request cannot be reached");
        return;
    }
    after(
        unsent_retry_delay,
        [this]
        {
            if (!attach_to(intended_upstream_, intent_offset_))
                attempt_unsent();
        });
}

void non_idempotent_session::attempt_lost()
{
    abandon_attempt();
    refuse_with_unknown_outcome("contact to the agent was lost while the request ran");
}

void non_idempotent_session::attempt_failed(final_frame const& frame)
{
    if (frame.code == result_code::upstream_failed)
    {
        refuse(frame.code, frame.data);
        return;
    }
    record_unknown_outcome();
    refuse_with_unknown_outcome("the upstream was lost while the request ran");
}

void non_idempotent_session::attempt_completed(final_frame const& frame)
{
    if (frame.data.size() > outcome_body_limit)
        return;
    outcome_record outcome;
    outcome.request = request_.id;
    outcome.attempt = attempt_;
    outcome.state = outcome_state::completed;
    outcome.status = frame.status;
    outcome.content_type = frame.content_type;
    outcome.body = frame.data;
    context_.submit(std::move(outcome));
}

void non_idempotent_session::record_unknown_outcome()
{
    outcome_record outcome;
    outcome.request = request_.id;
    outcome.attempt = attempt_;
    outcome.state = outcome_state::unknown;
    context_.submit(std::move(outcome));
}

void non_idempotent_session::refuse_with_unknown_outcome(std::string_view detail)
{
    auto refused = make_refusal(result_code::outcome_unknown, detail);
    refused.ran = execution_state::unknown;
    refuse(refused);
}

} // namespace almondcart
