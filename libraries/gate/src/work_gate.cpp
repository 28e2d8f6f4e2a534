#include <almondcart/core/status.hpp>
#include <almondcart/gate/usage_json.hpp>
#include <almondcart/gate/work_gate.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>
#include <array>
#include <utility>

namespace almondcart {

namespace {

work_refusal make_work_refusal(result_code code, std::string_view detail)
{
    return {code, std::string(detail), 0};
}

/// Refusals that do not concern this attempt leave it unfenced: the first two codes refer to work
/// that is running or has run, the third to another incarnation.
bool must_fence_attempt(result_code code)
{
    return code != result_code::request_key_reused && code != result_code::answer_expired &&
           code != result_code::stale_incarnation;
}

} // namespace

std::string_view name_of(request_state state)
{
    constexpr std::array<std::string_view, 4> names{"unknown", "fenced", "running", "finished"};
    return names.at(static_cast<std::size_t>(state));
}

work_gate::work_gate(process_id self, limits limits, hooks hooks, upstream_crash_monitor& monitor)
    : self_(std::move(self))
    , limits_(limits)
    , hooks_(std::move(hooks))
    , monitor_(monitor)
    , fences_(hooks_.now, limits.fences)
    , outbox_(hooks_.now, limits.offer_after)
{}

std::uint64_t work_gate::serve(dispatch const& work, work_reader deliver)
{
    if (work.agent != self_)
    {
        refuse(
            work,
            make_work_refusal(
                result_code::stale_incarnation, "this incarnation is " + to_text(self_)),
            deliver);
        return 0;
    }
    auto const it = records_.find(work.request);
    if (it != records_.end() && !may_run_again(it->second, work))
    {
        if (auto refusal = check_attach(it->second, work))
        {
            refuse(work, std::move(*refusal), deliver);
            return 0;
        }
        return attach(it->second, work, std::move(deliver));
    }
    if (auto refusal = check_new(work))
    {
        refuse(work, std::move(*refusal), deliver);
        return 0;
    }
    return start(work, std::move(deliver));
}

/// Failed idempotent work may run once more under a higher attempt.
bool work_gate::may_run_again(work_record const& record, dispatch const& work) const
{
    return record.has_failed() && record.work.is_idempotent && work.is_idempotent &&
           work.attempt > record.work.attempt && work.from_frame == 0 &&
           work.fingerprint == record.work.fingerprint;
}

std::optional<work_refusal>
work_gate::check_attach(work_record const& record, dispatch const& work) const
{
    if (work.fingerprint != record.work.fingerprint)
        return make_work_refusal(
            result_code::request_key_reused, "the request key was used with another body");
    // Frames of two runs must not be mixed in one response.
    if (work.from_frame > 0 && work.attempt != record.work.attempt)
        return make_work_refusal(
            result_code::answer_expired, "frames of an earlier attempt are no longer kept");
    if (!record.is_output_kept)
        return make_work_refusal(
            result_code::answer_expired, "the output of this request is no longer kept");
    return std::nullopt;
}

std::optional<work_refusal> work_gate::check_new(dispatch const& work) const
{
    if (work.from_frame > 0)
        return make_work_refusal(
            result_code::answer_expired, "the output of this request is no longer kept");
    if (int const fenced = fences_.highest(work.request); fenced >= work.attempt)
        return work_refusal{
            result_code::request_fenced,
            "attempts up to " + std::to_string(fenced) + " are fenced",
            fenced + 1};
    if (is_leaving_)
        return make_work_refusal(result_code::upstream_leaving, "the upstream is leaving");
    if (hooks_.is_configured && !hooks_.is_configured(work))
        return make_work_refusal(
            result_code::not_ready, "the configuration of the service has not been received yet");
    if (!work.is_idempotent && work.intent_offset < 0)
        return make_work_refusal(
            result_code::intent_not_durable, "non-idempotent work needs a durable intent");
    if (work.reserved_tokens() < work.worst_case())
        return make_work_refusal(
            result_code::malformed_request, "the grants do not cover the maximum token count");
    for (auto const& part : work.grants)
    {
        if (closed_grants_.contains(part.grant))
            return make_work_refusal(
                result_code::grant_closed, "grant " + to_text(part.grant) + " is closed");
    }
    return check_capacity(work);
}

std::optional<work_refusal> work_gate::check_capacity(dispatch const& work) const
{
    if ((hooks_.is_blocked && hooks_.is_blocked(work.fingerprint)) ||
        monitor_.is_blocked(work.fingerprint))
        return make_work_refusal(
            result_code::request_crashes_upstreams, "upstreams crashed while this request ran");
    bool const is_suspect = work.is_suspect || monitor_.is_suspect(work.fingerprint);
    if (is_suspect && monitor_.is_suspect_running())
        return make_work_refusal(result_code::overloaded, "another crash suspect is running here");
    if (monitor_.is_down())
        return make_work_refusal(result_code::no_upstream, "the upstream does not answer");
    if (running() >= limits_.slots)
        return make_work_refusal(result_code::overloaded, "all slots are in use");
    if (output_bytes_ >= limits_.output_bytes)
        return make_work_refusal(
            result_code::overloaded, "the limit for retained output is reached");
    if (outbox_.size() >= limits_.unacknowledged)
        return make_work_refusal(
            result_code::overloaded, "too many usage items are unacknowledged");
    return std::nullopt;
}

void work_gate::refuse(dispatch const& work, work_refusal refusal, work_reader const& deliver)
{
    ++counts_.refused;
    if (must_fence_attempt(refusal.code))
        fences_.add(work.request, work.attempt, work.is_idempotent);
    record_event(
        "work_refused",
        work.request,
        std::string(name_of(refusal.code)) + ", attempt " + std::to_string(work.attempt));
    deliver(std::move(refusal));
}

std::uint64_t work_gate::start(dispatch const& work, work_reader deliver)
{
    auto const request = work.request;
    auto const call = next_call_++;
    auto const reader = next_reader_++;
    if (auto const previous = records_.find(request); previous != records_.end())
        drop_output(previous->second);

    work_record record;
    record.call = call;
    record.work = work;
    record.work.body.clear();
    record.work.body.shrink_to_fit();
    record.readers.push_back({reader, 0, std::make_shared<work_reader const>(std::move(deliver))});
    calls_.emplace(call, request);
    readers_.emplace(reader, request);
    monitor_.call_started(call, {request, work.fingerprint, work.is_suspect});
    records_.insert_or_assign(request, std::move(record));
    ++counts_.started;
    record_event("work_started", request, "attempt " + std::to_string(work.attempt));
    hooks_.start_call(call, work);
    return readers_.contains(reader) ? reader : 0;
}

std::uint64_t work_gate::attach(work_record& record, dispatch const& work, work_reader deliver)
{
    ++counts_.attached;
    record_event("work_attached", work.request, "from frame " + std::to_string(work.from_frame));
    auto const shared = std::make_shared<work_reader const>(std::move(deliver));
    // Lines are copied first, because a reader may call back and change the record.
    std::vector<work_line> lines;
    // A client that returns after a failed run needs another run. If it received the output of the
    // failed one, its stream would have begun and could not be restarted.
    bool const has_no_usable_output = record.has_failed() && work.from_frame == 0;
    for (auto n = static_cast<std::size_t>(work.from_frame);
         n < record.frames.size() && !has_no_usable_output;
         ++n)
        lines.emplace_back(record.frames[n]);
    std::uint64_t reader = 0;
    if (record.last)
    {
        auto last = *record.last;
        if (has_no_usable_output)
            last.number = work.from_frame;
        lines.emplace_back(std::move(last));
    }
    else
    {
        reader = next_reader_++;
        auto const next =
            std::max(work.from_frame, static_cast<std::int64_t>(record.frames.size()));
        record.readers.push_back({reader, next, shared});
        readers_.emplace(reader, work.request);
    }
    for (auto const& line : lines)
        (*shared)(line);
    return reader;
}

void work_gate::detach(std::uint64_t reader)
{
    auto const it = readers_.find(reader);
    if (it == readers_.end())
        return;
    auto const request = it->second;
    readers_.erase(it);
    auto& record = records_.at(request);
    std::erase_if(record.readers, [&](auto const& entry) { return entry.id == reader; });
    if (!record.readers.empty() || record.is_finished())
        return;
    record.idle_since = hooks_.now();
    if (record.work.is_idempotent)
        schedule_retention_check(request, record.idle_since + limits_.idle_retention);
}

work_record* work_gate::find_call(std::uint64_t call)
{
    auto const it = calls_.find(call);
    return it == calls_.end() ? nullptr : &records_.at(it->second);
}

void work_gate::add_output(std::uint64_t call, std::string data, token_count tokens)
{
    auto* record = find_call(call);
    if (record == nullptr || record->is_truncated)
        return;
    tokens = std::max<token_count>(tokens, 0);
    if (record->output_tokens + tokens > record->work.output_cap)
    {
        truncate_output(*record);
        return;
    }
    data_frame frame{static_cast<std::int64_t>(record->frames.size()), std::move(data), tokens};
    record->output_tokens += tokens;
    // Without the frame itself, small events would take a multiple of what is counted.
    auto const size = sizeof(frame) + frame.data.size();
    record->output_bytes += size;
    output_bytes_ += size;
    record->frames.push_back(frame);
    auto const request = record->work.request;
    auto const number = frame.number;
    enforce_output_limit();
    if (exceeds_output_share(*record))
    {
        cancel_call(*record, "the output exceeds the limit for retained output");
        return;
    }
    deliver_to_all(request, std::move(frame), number);
}

void work_gate::deliver_to_all(
    request_id const& request,
    work_line const& line,
    std::int64_t number)
{
    auto const it = records_.find(request);
    if (it == records_.end())
        return;
    std::vector<work_record::attached_reader> targets;
    for (auto& reader : it->second.readers)
    {
        if (number < reader.next_frame)
            continue;
        reader.next_frame = number + 1;
        targets.push_back(reader);
    }
    for (auto const& target : targets)
    {
        if (readers_.contains(target.id))
            (*target.deliver)(line);
    }
}

/// Truncates the output at the cap. Idempotent work is cancelled; non-idempotent work completes.
void work_gate::truncate_output(work_record& record)
{
    record.is_truncated = true;
    ++counts_.cut;
    record_event(
        "output_cut", record.work.request, "cap " + std::to_string(record.work.output_cap));
    if (!record.work.is_idempotent)
        return;
    auto const call = record.call;
    upstream_response response;
    response.content_type = "application/json";
    finish(call, std::move(response));
    if (hooks_.cancel_call)
        hooks_.cancel_call(call);
}

bool work_gate::exceeds_output_share(work_record const& record) const
{
    auto const share = limits_.output_bytes / static_cast<std::size_t>(std::max(1, limits_.slots));
    return output_bytes_ > limits_.output_bytes && record.output_bytes > share;
}

void work_gate::finish(std::uint64_t call, upstream_response response)
{
    auto* record = find_call(call);
    if (record == nullptr)
        return;
    monitor_.call_completed(call);
    auto const& work = record->work;
    final_frame last;
    last.status = response.status;
    last.content_type = std::move(response.content_type);
    last.usage.prompt = std::clamp<token_count>(
        response.prompt_tokens.value_or(work.prompt_tokens), 0, work.prompt_tokens);
    last.usage.output =
        record->is_truncated
            ? record->output_tokens
            : std::clamp<token_count>(
                  response.output_tokens.value_or(record->output_tokens), 0, work.output_cap);
    if (record->is_truncated && hooks_.create_truncation_data)
        last.data = hooks_.create_truncation_data(work);
    else
        last.data = std::move(response.data);
    end_record(*record, std::move(last));
}

void work_gate::fail(std::uint64_t call, std::string_view detail, call_failure failure)
{
    auto* record = find_call(call);
    if (record == nullptr)
        return;
    ++counts_.failed;
    if (failure == call_failure::connection_lost)
        monitor_.call_lost(call);
    else
        monitor_.call_ended(call);
    bool const is_lost = failure == call_failure::connection_lost;
    // A lost idempotent run may be followed by another one, and a request is billed only once, for
    // the run that produces its response.
    if (is_lost && record->work.is_idempotent)
        record->output_tokens = 0;
    auto const code = is_lost || record->frames.empty() ? result_code::upstream_lost
                                                        : result_code::upstream_failed;
    end_failed(*record, code, detail);
}

void work_gate::fail_before_start(std::uint64_t call, std::string_view detail)
{
    auto* record = find_call(call);
    if (record == nullptr)
        return;
    monitor_.connection_refused(call);
    // Output proves that the call ran, regardless of what the transport reports.
    if (!record->frames.empty())
    {
        ++counts_.failed;
        end_failed(*record, result_code::upstream_failed, detail);
        return;
    }
    auto const work = record->work;
    auto const readers = record->readers;
    fences_.add(work.request, work.attempt, work.is_idempotent);
    calls_.erase(call);
    records_.erase(work.request);
    ++counts_.refused;
    record_event("work_refused", work.request, "connection refused by the upstream");
    for (auto const& reader : readers)
    {
        if (readers_.erase(reader.id) > 0)
            (*reader.deliver)(make_work_refusal(result_code::no_upstream, detail));
    }
}

void work_gate::end_failed(work_record& record, result_code code, std::string_view detail)
{
    final_frame last;
    last.code = code;
    last.status = entry_of(code).http_status;
    last.content_type = "text/plain";
    last.usage.output = record.output_tokens;
    last.data = detail;
    end_record(record, std::move(last));
}

void work_gate::end_record(work_record& record, final_frame last)
{
    auto const request = record.work.request;
    last.number = static_cast<std::int64_t>(record.frames.size());
    last.started_ms = record.work.started_ms;
    last.parts = split_over_grants(record.work.grants, last.usage.total());
    record.output_bytes += last.data.size();
    output_bytes_ += last.data.size();
    record.last = last;
    record.finished_at = hooks_.now();
    record.settled_at = record.finished_at;
    calls_.erase(record.call);
    finished_order_.push_back(request);
    bill(record);
    schedule_retention_check(request, record.finished_at + limits_.output_retention);
    record_event(
        "work_finished",
        request,
        std::string(name_of(last.code)) + ", " + std::to_string(last.usage.total()) + " tokens");
    auto const readers = std::exchange(record.readers, {});
    enforce_output_limit();
    for (auto const& reader : readers)
    {
        if (readers_.erase(reader.id) > 0)
            (*reader.deliver)(last);
    }
}

void work_gate::bill(work_record& record)
{
    counts_.billed_tokens += record.last->usage.total();
    // No tokens were charged, so there is no usage to acknowledge.
    if (record.last->parts.empty())
        return;
    outbox_.add({record.work.request, record.work.started_ms, record.last->parts});
    if (is_leaving_)
        outbox_.make_all_due();
}

void work_gate::cancel_call(work_record& record, std::string_view detail)
{
    auto const call = record.call;
    ++counts_.cancelled;
    monitor_.call_ended(call);
    end_failed(record, result_code::upstream_failed, detail);
    if (hooks_.cancel_call)
        hooks_.cancel_call(call);
}

closed_grant_report work_gate::close_grant(grant_id const& grant)
{
    if (closed_grants_.insert(grant).second)
        record_event("grant_closed", {}, "grant " + to_text(grant));
    closed_grant_report report;
    report.finished = outbox_.under_grant(grant);
    for (auto const& [call, request] : calls_)
        report.running += uses_grant(records_.at(request), grant) ? 1 : 0;
    return report;
}

bool work_gate::uses_grant(work_record const& record, grant_id const& grant) const
{
    return std::ranges::any_of(
        record.work.grants, [&](grant_part const& part) { return part.grant == grant; });
}

request_state work_gate::fence_request(request_id const& request, int attempt)
{
    if (auto const it = records_.find(request); it != records_.end())
        return it->second.is_finished() ? request_state::finished : request_state::running;
    fences_.add(request, attempt, false);
    record_event("request_fenced", request, "attempt " + std::to_string(attempt));
    return request_state::fenced;
}

request_state work_gate::find_request(request_id const& request) const
{
    if (auto const it = records_.find(request); it != records_.end())
        return it->second.is_finished() ? request_state::finished : request_state::running;
    return fences_.highest(request) > 0 ? request_state::fenced : request_state::unknown;
}

void work_gate::cancel(request_id const& request)
{
    auto const it = records_.find(request);
    if (it == records_.end() || it->second.is_finished() || !it->second.work.is_idempotent)
        return;
    cancel_call(it->second, "the request was cancelled");
}

void work_gate::acknowledge(std::vector<request_id> const& requests)
{
    for (auto const& request : requests)
    {
        if (!outbox_.acknowledge(request))
            continue;
        auto const it = records_.find(request);
        if (it == records_.end() || !it->second.is_finished())
            continue;
        it->second.settled_at = hooks_.now();
        schedule_retention_check(request, it->second.settled_at + limits_.output_retention);
    }
}

void work_gate::drain()
{
    if (is_leaving_)
        return;
    is_leaving_ = true;
    outbox_.make_all_due();
    record_event("drain_started", {}, std::to_string(running()) + " requests run");
}

bool work_gate::is_drained() const
{
    return is_leaving_ && calls_.empty() && outbox_.is_empty();
}

int work_gate::free_slots() const
{
    if (is_leaving_ || monitor_.is_down())
        return 0;
    return std::max(0, limits_.slots - running());
}

void work_gate::tick()
{
    fences_.tick();
    auto const now = hooks_.now();
    std::vector<request_id> due_requests;
    while (!retention_checks_.empty() && retention_checks_.begin()->first <= now)
    {
        due_requests.push_back(std::move(retention_checks_.begin()->second));
        retention_checks_.erase(retention_checks_.begin());
    }
    for (auto const& request : due_requests)
        apply_retention(request);
    while (!finished_order_.empty() && !has_finished_output(finished_order_.front()))
        finished_order_.pop_front();
    auto const items = outbox_.take_due(offer_batch_limit);
    if (!items.empty() && hooks_.offer_usage)
        hooks_.offer_usage(items);
}

void work_gate::schedule_retention_check(request_id const& request, instant at)
{
    retention_checks_.emplace(at, request);
}

/// Cancels, drops or removes what has exceeded its retention time for one request.
void work_gate::apply_retention(request_id const& request)
{
    auto const it = records_.find(request);
    if (it == records_.end())
        return;
    auto& record = it->second;
    auto const now = hooks_.now();
    if (!record.is_finished())
    {
        if (record.work.is_idempotent && record.readers.empty() &&
            now - record.idle_since >= limits_.idle_retention)
            cancel_call(record, "the call was stopped because no reader returned");
        return;
    }
    if (outbox_.contains(request))
        return;
    if (now - record.settled_at >= limits_.output_retention)
        drop_output(record);
    auto const retention = record.work.is_idempotent ? limits_.request_retention
                                                     : limits_.non_idempotent_request_retention;
    auto const end = std::max(record.finished_at + retention, record.settled_at);
    if (record.is_output_kept)
        return;
    if (now >= end)
        records_.erase(it);
    else
        schedule_retention_check(request, end);
}

void work_gate::drop_output(work_record& record)
{
    output_bytes_ -= record.output_bytes;
    record.output_bytes = 0;
    record.is_output_kept = false;
    record.frames.clear();
    record.frames.shrink_to_fit();
    if (record.last)
        record.last->data.clear();
}

/// Keeps retained output within its limit by dropping the output of finished requests, acknowledged
/// ones first, each oldest first. Output of running requests stays; `add_output` bounds it.
void work_gate::enforce_output_limit()
{
    for (bool const must_be_acknowledged : {true, false})
    {
        for (auto it = finished_order_.begin();
             output_bytes_ > limits_.output_bytes && it != finished_order_.end();)
        {
            bool const has_output = has_finished_output(*it);
            if (has_output && must_be_acknowledged && outbox_.contains(*it))
            {
                ++it;
                continue;
            }
            if (has_output)
                drop_output(records_.at(*it));
            it = finished_order_.erase(it);
        }
    }
}

bool work_gate::has_finished_output(request_id const& request) const
{
    auto const it = records_.find(request);
    return it != records_.end() && it->second.is_finished() && it->second.is_output_kept;
}

void work_gate::record_event(std::string_view name, request_id const& request, std::string detail)
    const
{
    bool const has_request = !request.key.empty();
    SPDLOG_DEBUG("[gate] {} {} {}", name, has_request ? to_text(request) : "-", detail);
    if (!hooks_.record_event)
        return;
    event entry;
    entry.part = "gate";
    entry.name = name;
    entry.request = has_request ? to_text(request) : "";
    entry.detail = std::move(detail);
    hooks_.record_event(std::move(entry));
}

} // namespace almondcart
