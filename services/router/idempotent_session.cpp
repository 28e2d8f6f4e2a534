#include "idempotent_session.hpp"

#include <almondcart/core/json_reader.hpp>

#include <algorithm>
#include <utility>

namespace almondcart {

namespace {

constexpr int refusal_limit = 5;
constexpr duration placement_timeout{500};
constexpr duration find_request_timeout{500};
constexpr duration suspect_poll_interval{100};
constexpr duration busy_retry_delay{100};
constexpr duration no_upstream_retry_after{1'000};

/// Agents report a crash with their next heartbeat, which they send every second.
constexpr duration crash_report_wait{1'200};

Json::Value to_array(std::set<std::string> const& values)
{
    Json::Value array(Json::arrayValue);
    for (auto const& value : values)
        array.append(value);
    return array;
}

} // namespace

void idempotent_session::begin()
{
    auto const* entry =
        context_.state.shard_of_account(request_.id.account).find_request(request_.id);
    may_have_run_ = entry != nullptr;
    if (is_blocked())
    {
        refuse_blocked();
        return;
    }
    if (auto const* known = context_.directory.find(request_.id))
    {
        may_have_run_ = true;
        if (known->fingerprint != request_.fingerprint)
        {
            refuse(result_code::request_key_reused, "the key belongs to a different request");
            return;
        }
    }
    if (entry != nullptr && entry->is_billed)
        find_answer();
    else
        place();
}

void idempotent_session::find_answer()
{
    // A second run would not be billed, so only the agent that ran a billed request may answer it.
    // A different body may map to another prefix, so the agents of the whole pool are queried.
    is_answer_only_ = true;
    auto const pending_queries = std::make_shared<std::size_t>(1);
    auto const conclude = [weak = weak_from_this(), pending_queries]
    {
        auto const self = weak.lock();
        if (--*pending_queries > 0 || !self || self->is_ended())
            return;
        auto const session = std::static_pointer_cast<idempotent_session>(self);
        if (session->target_.empty() || !session->attach_to(session->target_, -1))
            session->refuse(
                result_code::answer_expired, "the request ran, and its answer is no longer kept");
    };
    Json::Value params(Json::objectValue);
    params["request"] = to_text(request_.id);
    for (auto const& upstream : context_.members.usable_upstreams())
    {
        if (context_.pools.find_by_upstream(upstream) != pool_)
            continue;
        ++*pending_queries;
        context_.rpc.call(
            context_.members.find_upstream(upstream)->address,
            "find_request",
            params,
            find_request_timeout,
            [weak = weak_from_this(), upstream, conclude](absl::StatusOr<Json::Value> const& result)
            {
                auto const self = std::static_pointer_cast<idempotent_session>(weak.lock());
                if (self && result.ok() && (*result)["state"].asString() == "finished")
                    self->target_ = upstream;
                conclude();
            });
    }
    conclude();
}

bool idempotent_session::is_blocked() const
{
    return context_.state.configuration().is_blocked(request_.fingerprint) ||
           context_.suspects.check(request_.fingerprint) == suspicion::blocked;
}

void idempotent_session::refuse_blocked()
{
    auto refused = make_refusal(
        result_code::request_crashes_upstreams,
        "requests with this content crashed the upstreams that ran them");
    if (!may_have_run_)
        refused.ran = execution_state::no;
    refuse(refused);
}

void idempotent_session::place()
{
    if (!request_.chat)
    {
        reserve();
        return;
    }
    auto& selector = pool_->selector();
    auto const& prefix = request_.chat->prefix;
    auto const home = selector.find_home(
        prefix,
        request_.chat->model,
        [this](std::string const& upstream) { return context_.members.is_reachable(upstream); });
    // The home agent refuses a suspect request if the proposed upstream is one that it crashed.
    auto avoid = context_.suspects.crashed_upstreams(request_.fingerprint);
    avoid.insert(avoid.end(), avoided_upstreams_.begin(), avoided_upstreams_.end());
    auto const proposed = selector.select({prefix, request_.chat->model, {}, avoid});
    auto const* member = home ? context_.members.find_upstream(*home) : nullptr;
    if (member == nullptr || !proposed)
    {
        refuse(make_refusal(
            result_code::no_upstream,
            "no upstream can take this request now",
            no_upstream_retry_after));
        return;
    }
    target_ = proposed->upstream;
    Json::Value params(Json::objectValue);
    params["fingerprint"] = request_.fingerprint;
    params["proposed"] = proposed->upstream;
    params["crashes"] = crash_set_to_json(context_.suspects.crashes_of(request_.fingerprint));
    params["unusable"] = to_array({avoided_upstreams_.begin(), avoided_upstreams_.end()});
    context_.rpc.call(
        member->address,
        "place",
        params,
        placement_timeout,
        [weak = weak_from_this()](absl::StatusOr<Json::Value> const& result)
        {
            auto const self = weak.lock();
            if (self && !self->is_ended())
                std::static_pointer_cast<idempotent_session>(self)->handle_placement(result);
        });
}

void idempotent_session::handle_placement(absl::StatusOr<Json::Value> const& result)
{
    // Without a reply the proposed upstream is used: an unavailable home agent must not block the
    // requests of its prefixes.
    if (result.ok())
    {
        auto const& placement = *result;
        auto const crashes = parse_crash_set(placement["crashes"]);
        context_.suspects.add(request_.fingerprint, crashes);
        auto const crashed = context_.suspects.crashed_upstreams(request_.fingerprint);
        bool const is_refused = placement["state"].asString() == "refused";
        if (is_refused && !is_blocked() && std::ranges::find(crashed, target_) != crashed.end())
        {
            // The home agent knew of a crash that this router had not learned of yet.
            may_have_run_ = true;
            place();
            return;
        }
        if (is_refused || is_blocked())
        {
            may_have_run_ = may_have_run_ || !crashes.empty();
            refuse_blocked();
            return;
        }
        auto const upstream = placement["upstream"].asString();
        if (context_.members.is_usable(upstream))
            target_ = upstream;
    }
    else if (context_.suspects.check(request_.fingerprint) != suspicion::none)
    {
        // A suspect request runs only where its home agent allows it; otherwise several routers
        // could each crash a different upstream with it.
        if (has_deadline_passed())
            refuse(make_refusal(
                result_code::no_upstream,
                "the agent that places this request does not respond",
                no_upstream_retry_after));
        else
            after(suspect_poll_interval, [this] { place(); });
        return;
    }
    if (request_.message.request_key.empty() || attempt_ > 1)
        reserve();
    else
        query_target();
}

void idempotent_session::query_target()
{
    auto const* member = context_.members.find_upstream(target_);
    if (member == nullptr)
    {
        reserve();
        return;
    }
    Json::Value params(Json::objectValue);
    params["request"] = to_text(request_.id);
    context_.rpc.call(
        member->address,
        "find_request",
        params,
        find_request_timeout,
        [weak = weak_from_this()](absl::StatusOr<Json::Value> const& result)
        {
            auto const self = std::static_pointer_cast<idempotent_session>(weak.lock());
            if (!self || self->is_ended())
                return;
            auto const state = result.ok() ? (*result)["state"].asString() : std::string();
            bool const is_known = state == "running" || state == "finished";
            self->may_have_run_ = self->may_have_run_ || is_known;
            // Attaching to work that the agent already has needs no tokens and no slot.
            if (!is_known || !self->attach_to(self->target_, -1))
                self->reserve();
        });
}

void idempotent_session::slot_granted()
{
    std::string upstream = target_;
    bool const is_avoided =
        std::ranges::find(avoided_upstreams_, upstream) != avoided_upstreams_.end();
    if (upstream.empty() || is_avoided || !context_.members.is_usable(upstream))
    {
        selection_request wanted;
        wanted.avoid = avoided_upstreams_;
        if (request_.chat)
        {
            wanted.prompt = request_.chat->prefix;
            wanted.model = request_.chat->model;
        }
        auto const selected = pool_->selector().select(wanted);
        if (!selected)
        {
            refuse(make_refusal(
                result_code::no_upstream, "no usable upstream", no_upstream_retry_after));
            return;
        }
        upstream = selected->upstream;
    }
    auto const suspicion = context_.suspects.check(request_.fingerprint);
    if (suspicion == suspicion::blocked)
    {
        refuse_blocked();
        return;
    }
    if (suspicion != suspicion::none)
    {
        runs_as_suspect_ = suspicion == suspicion::suspect &&
                           context_.suspects.try_start(request_.fingerprint, upstream);
        if (!runs_as_suspect_)
        {
            if (has_deadline_passed())
                refuse(
                    result_code::deadline_passed,
                    "the request waits for another one that ran when an upstream crashed");
            else
                after(suspect_poll_interval, [this] { slot_granted(); });
            return;
        }
    }
    if (attempt_ == 1)
        context_.retries.count_request();
    if (!dispatch_to(upstream, -1))
        retry_on_another_upstream();
}

void idempotent_session::attempt_refused(work_refusal const& refused)
{
    finish_suspect(suspect_result::not_run);
    if (refused.code == result_code::overloaded && !has_deadline_passed())
    {
        selection_request others;
        if (request_.chat)
            others = {request_.chat->prefix, request_.chat->model, {}, {}};
        others.avoid = avoided_upstreams_;
        others.avoid.push_back(upstream_);
        if (!pool_->selector().select(others))
        {
            // The routers together sent more requests than the last upstream has slots; a slot
            // becomes free when one of its requests ends.
            ++attempt_;
            after(busy_retry_delay, [this] { place(); });
            return;
        }
    }
    if (++refusals_ > refusal_limit)
    {
        refuse(make_refusal(
            result_code::no_upstream,
            "all upstreams that were tried refused",
            no_upstream_retry_after));
        return;
    }
    if (is_attached_ || refused.code == result_code::grant_closed ||
        refused.code == result_code::request_fenced)
    {
        next_attempt(refused.next_attempt);
        return;
    }
    retry_on_another_upstream();
}

void idempotent_session::attempt_unsent()
{
    if (is_answer_only_)
    {
        refuse(result_code::upstream_lost, "the agent that keeps the answer cannot be reached");
        return;
    }
    finish_suspect(suspect_result::not_run);
    if (++refusals_ > refusal_limit)
    {
        refuse(make_refusal(
            result_code::no_upstream, "no agent could be reached", no_upstream_retry_after));
        return;
    }
    retry_on_another_upstream();
}

void idempotent_session::retry_on_another_upstream()
{
    if (is_ended())
        return;
    release_attempt();
    avoided_upstreams_.push_back(upstream_.empty() ? target_ : upstream_);
    ++attempt_;
    place();
}

void idempotent_session::attempt_lost()
{
    if (is_answer_only_)
    {
        refuse(result_code::upstream_lost, "the agent that keeps the answer cannot be reached");
        return;
    }
    finish_suspect(suspect_result::lost);
    abandon_attempt();
    failed_attempt const failed{true, response_->is_started()};
    if (!may_run_twice())
    {
        refuse(
            result_code::outcome_unknown,
            "contact was lost while the request ran, and its budget does not allow a second run");
        return;
    }
    if (!context_.retries.try_retry(failed))
    {
        refuse(result_code::upstream_lost, "contact to the upstream was lost");
        return;
    }
    retry_on_another_upstream();
}

void idempotent_session::attempt_failed(final_frame const& frame)
{
    if (is_answer_only_)
    {
        refuse(frame.code, frame.data);
        return;
    }
    finish_suspect(suspect_result::ended);
    failed_attempt const failed{true, response_->is_started()};
    // A failure reported for attached work belongs to an earlier call, so running the request again
    // is a retry of the client and not one of this router.
    bool const may_retry =
        is_attached_ ? !response_->is_started() : context_.retries.try_retry(failed);
    if (frame.code != result_code::upstream_lost || !may_retry)
    {
        refuse(frame.code, frame.data);
        return;
    }
    retry_after_crash(context_.loop.now() + crash_report_wait, frame);
}

void idempotent_session::retry_after_crash(instant report_deadline, final_frame const& frame)
{
    // The retry depends on whether this request is a crash suspect, which the agent reports with
    // its next heartbeat.
    bool const is_known = context_.suspects.check(request_.fingerprint) != suspicion::none;
    if (is_known || context_.loop.now() >= report_deadline)
    {
        if (is_blocked())
            refuse_blocked();
        else
            retry_on_another_upstream();
        return;
    }
    after(
        suspect_poll_interval,
        [this, report_deadline, frame] { retry_after_crash(report_deadline, frame); });
}

void idempotent_session::attempt_completed(final_frame const&)
{
    finish_suspect(suspect_result::completed);
}

void idempotent_session::finish_suspect(suspect_result result)
{
    if (!runs_as_suspect_)
        return;
    runs_as_suspect_ = false;
    context_.suspects.finished(request_.fingerprint, result);
}

bool idempotent_session::may_run_twice() const
{
    auto const* budget =
        context_.state.shard_of_account(request_.id.account).find_budget(request_.budget);
    return budget == nullptr || budget->preference == budget_preference::false_refusals;
}

} // namespace almondcart
