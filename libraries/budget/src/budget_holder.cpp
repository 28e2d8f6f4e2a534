#include <almondcart/budget/budget_holder.hpp>
#include <almondcart/core/hash.hpp>

#include <spdlog/spdlog.h>

#include <algorithm>

namespace almondcart {

namespace {

/// Precedence of a router's queued requests of a budget. Without an order, two routers could
/// transfer the last tokens back and forth forever.
std::uint64_t precedence_of(process_id const& router, budget_id const& budget)
{
    return hash64(to_text(router), hash64(to_text(budget)));
}

} // namespace

budget_holder::budget_holder(budget_holder_settings settings, hooks hooks)
    : settings_(std::move(settings))
    , hooks_(std::move(hooks))
{}

budget_holder::held_budget& budget_holder::held_budget_of(budget_id const& id)
{
    return held_budgets_.try_emplace(id, id).first->second;
}

budget_holder::held_budget* budget_holder::find_held_budget(budget_id const& id)
{
    auto const it = held_budgets_.find(id);
    return it == held_budgets_.end() ? nullptr : &it->second;
}

budget_entry const* budget_holder::find_folded_budget(budget_id const& id) const
{
    auto const* state = hooks_.shard_state(shard_of(id.account));
    return state != nullptr ? state->find_budget(id) : nullptr;
}

budget_account const* budget_holder::find_account(budget_id const& budget) const
{
    auto const it = held_budgets_.find(budget);
    return it == held_budgets_.end() ? nullptr : &it->second.account;
}

bool budget_holder::has_pending_usage(request_id const& request) const
{
    for (auto it = attempts_.lower_bound({request, 0});
         it != attempts_.end() && it->first.first == request;
         ++it)
    {
        if (it->second.state == attempt_state::settled)
            return true;
    }
    return false;
}

std::size_t budget_holder::waiting_count() const
{
    std::size_t n = 0;
    for (auto const& id : with_waiting_)
        n += held_budgets_.at(id).waiting.size();
    return n;
}

void budget_holder::reserve(
    request_id const& request,
    int attempt,
    budget_id const& budget,
    token_count worst_case,
    instant deadline,
    reserve_callback callback)
{
    auto const now = hooks_.now();
    waiting_entry waiting{request, attempt, worst_case, now, deadline, std::move(callback)};
    if (is_shutting_down_)
        refuse(waiting, result_code::shutting_down, "the router is shutting down");
    else if (find_folded_budget(budget) == nullptr)
        refuse(waiting, result_code::unknown_budget, "unknown budget " + to_text(budget));
    else if (worst_case < 0 || attempts_.contains({request, attempt}))
        refuse(waiting, result_code::internal_error, "attempt is already reserved");
    else
    {
        auto& held = held_budget_of(budget);
        held.account.demand().add(worst_case, now);
        held.waiting.push_back(std::move(waiting));
        with_waiting_.insert(budget);
        serve_queue(held);
        if (!held.waiting.empty())
            size_grants(held, now);
    }
    deliver();
}

bool budget_holder::cancel(request_id const& request, int attempt)
{
    for (auto const& id : with_waiting_)
    {
        auto& waiting = held_budgets_.at(id).waiting;
        auto const it = std::find_if(
            waiting.begin(),
            waiting.end(),
            [&](auto const& entry)
            { return entry.request == request && entry.attempt == attempt; });
        if (it == waiting.end())
            continue;
        waiting.erase(it);
        serve_queue(held_budgets_.at(budget_id(id)));
        deliver();
        return true;
    }
    return false;
}

void budget_holder::serve_queue(held_budget& held)
{
    auto const now = hooks_.now();
    while (!held.waiting.empty() && held.waiting.front().worst_case <= held.account.free())
        grant_waiting(held, held.waiting.begin());
    // Smaller requests may overtake the first one only for a limited time. Otherwise they could
    // starve a large one by taking every free token.
    if (!held.waiting.empty() && now - held.waiting.front().queued_at < settings_.bypass_window)
    {
        for (std::size_t n = 1; n < held.waiting.size();)
        {
            if (held.waiting[n].worst_case <= held.account.free())
                grant_waiting(held, held.waiting.begin() + std::ptrdiff_t(n));
            else
                ++n;
        }
    }
    if (held.waiting.empty())
        with_waiting_.erase(held.account.id());
}

void budget_holder::grant_waiting(
    held_budget& held,
    std::deque<waiting_entry>::iterator const& position)
{
    auto waiting = std::move(*position);
    held.waiting.erase(position);
    attempt_entry entry;
    entry.value = {
        waiting.request,
        waiting.attempt,
        held.account.id(),
        *held.account.try_reserve(waiting.worst_case),
        0};
    entry.changed_at = hooks_.now();
    if (auto const* state = hooks_.shard_state(shard_of(waiting.request.account)))
    {
        auto const* request = state->find_request(waiting.request);
        entry.is_billed_elsewhere = request != nullptr && request->is_billed;
        entry.value.started_ms = state->time_ms();
    }
    auto const value = entry.value;
    undispatched_.insert({waiting.request, waiting.attempt});
    attempts_.emplace(attempt_key{waiting.request, waiting.attempt}, std::move(entry));
    deliveries_.emplace_back([callback = std::move(waiting.callback), value] { callback(value); });
}

void budget_holder::refuse(waiting_entry& waiting, result_code code, std::string_view detail)
{
    deliveries_.emplace_back([callback = std::move(waiting.callback),
                              status = make_status(code, detail)] { callback(status); });
}

void budget_holder::deliver()
{
    // A callback may call the holder again. The outer loop delivers what that adds.
    if (is_delivering_)
        return;
    is_delivering_ = true;
    while (!deliveries_.empty())
    {
        auto const next = std::move(deliveries_.front());
        deliveries_.pop_front();
        next();
    }
    is_delivering_ = false;
}

absl::StatusOr<reservation> budget_holder::dispatch(request_id const& request, int attempt)
{
    auto const it = attempts_.find({request, attempt});
    if (it == attempts_.end())
        return make_status(result_code::internal_error, "attempt is not reserved");
    auto& entry = it->second;
    undispatched_.erase(it->first);
    if (entry.state == attempt_state::lost)
    {
        attempts_.erase(it);
        return make_status(result_code::grant_closed, "the grant was closed before dispatch");
    }
    if (auto const* state = hooks_.shard_state(shard_of(request.account)))
        entry.value.started_ms = state->time_ms();
    entry.state = attempt_state::dispatched;
    entry.changed_at = hooks_.now();
    return entry.value;
}

usage_item budget_holder::settle(reservation const& value, token_count actual)
{
    auto const it = attempts_.find({value.request, value.attempt});
    auto const is_known = it != attempts_.end() && it->second.state != attempt_state::settled;
    auto const reserved = is_known ? it->second.value.parts : value.parts;
    usage_item usage{value.request, value.started_ms, first_tokens_of(reserved, actual)};
    if (actual > total_of(reserved))
        spdlog::error(
            "[budget] {}: used {} tokens, but only {} were reserved",
            to_text(value.request),
            actual,
            total_of(reserved));
    if (!is_known)
        return usage;
    auto& entry = it->second;
    auto& held = held_budget_of(value.budget);
    auto& account = held.account;
    account.set_pending(usage.parts);
    account.unreserve(remaining_parts(reserved, usage.parts));
    entry.state = attempt_state::settled;
    entry.changed_at = hooks_.now();
    entry.usage = usage;
    undispatched_.erase(it->first);
    abandoned_.erase(it->first);
    if (entry.is_billed_elsewhere || usage.parts.empty())
    {
        account.set_unbilled(usage.parts);
        attempts_.erase(it);
    }
    else
        unsubmitted_.insert(it->first);
    serve_queue(held);
    deliver();
    return usage;
}

void budget_holder::release(reservation const& value)
{
    auto const it = attempts_.find({value.request, value.attempt});
    if (it == attempts_.end() || it->second.state == attempt_state::settled)
        return;
    auto& held = held_budget_of(value.budget);
    if (it->second.state != attempt_state::lost)
        held.account.unreserve(it->second.value.parts);
    remove_attempt(it);
    serve_queue(held);
    deliver();
}

void budget_holder::abandon(reservation const& value)
{
    auto const it = attempts_.find({value.request, value.attempt});
    if (it == attempts_.end() || it->second.state != attempt_state::dispatched)
        return;
    it->second.state = attempt_state::abandoned;
    abandoned_.insert(it->first);
    it->second.changed_at = hooks_.now();
}

void budget_holder::grant_refused(budget_id const& budget, grant_id const& grant)
{
    close_locally(held_budget_of(budget), grant);
    deliver();
}

absl::StatusOr<std::vector<grant_part>> budget_holder::transfer_out(
    transfer_id const& transfer,
    budget_id const& budget,
    token_count tokens)
{
    auto const* entry = find_folded_budget(budget);
    if (entry == nullptr)
        return make_status(result_code::unknown_budget, "unknown budget " + to_text(budget));
    auto& held = held_budget_of(budget);
    auto const previous = held.last_transfers.find(transfer.receiver);
    if (previous != held.last_transfers.end() && transfer.number == previous->second.first)
        return previous->second.second;
    if (previous != held.last_transfers.end() && transfer.number < previous->second.first)
        return std::vector<grant_part>{};
    auto const has_precedence =
        !held.waiting.empty() &&
        precedence_of(settings_.self, budget) > precedence_of(transfer.receiver, budget);
    if (has_precedence)
        return make_status(
            result_code::budget_unavailable, "queued requests of this router come first");
    auto parts = held.account.transfer(transfer.receiver, std::max<token_count>(tokens, 0));
    if (parts.empty() && (held.draw_sequence >= 0 || is_returning(budget)))
        return make_status(
            result_code::budget_unavailable, "a draw or return of tokens is in flight");
    auto const sum = total_of(parts);
    transferred_out_total_ += sum;
    held.last_transfers[transfer.receiver] = {transfer.number, parts};
    if (sum > 0)
        report_event(
            "transferred_out", budget, std::to_string(sum) + " to " + to_text(transfer.receiver));
    return parts;
}

transfer_id budget_holder::create_transfer(budget_id const& budget)
{
    auto const it = open_transfers_.emplace(transfer_id{settings_.self, next_transfer_++}, budget);
    return it.first->first;
}

token_count
budget_holder::transfer_in(transfer_id const& transfer, std::vector<grant_part> const& parts)
{
    auto const open = open_transfers_.find(transfer);
    if (open == open_transfers_.end())
        return 0;
    auto const budget = open->second;
    open_transfers_.erase(open);
    auto& held = held_budget_of(budget);
    auto const* state = hooks_.shard_state(shard_of(budget.account));
    token_count credited = 0;
    for (auto const& part : parts)
    {
        // A grant whose record this router has not folded yet is assumed to be open. Otherwise the
        // folded state must show it as open.
        auto const is_applied = state != nullptr && part.grant.offset <= state->offset();
        auto const* grant = is_applied ? state->find_grant(part.grant) : nullptr;
        auto const is_usable =
            !is_applied || (grant != nullptr && grant->state == grant_state::open);
        if (part.tokens <= 0 || !is_usable || held.account.is_closed(part.grant))
            continue;
        held.account.credit(part.grant, part.tokens, credited_grants_.contains(part.grant));
        credited += part.tokens;
    }
    if (credited > 0)
    {
        held.moved_at = hooks_.now();
        report_event("transferred_in", budget, std::to_string(credited));
    }
    serve_queue(held);
    deliver();
    return credited;
}

void budget_holder::forget_transfer(transfer_id const& transfer)
{
    open_transfers_.erase(transfer);
}

void budget_holder::refuse_exhausted(budget_id const& budget, instant queued_before)
{
    auto* held = find_held_budget(budget);
    if (held == nullptr)
        return;
    std::deque<waiting_entry> kept;
    while (!held->waiting.empty())
    {
        auto& first = held->waiting.front();
        if (first.worst_case <= held->account.free())
        {
            grant_waiting(*held, held->waiting.begin());
            continue;
        }
        if (first.queued_at <= queued_before)
            refuse(
                first, result_code::budget_exhausted, "budget " + to_text(budget) + " is used up");
        else
            kept.push_back(std::move(first));
        held->waiting.pop_front();
    }
    held->waiting = std::move(kept);
    serve_queue(*held);
    deliver();
}

void budget_holder::expire_waiting(held_budget& held, instant now)
{
    for (std::size_t n = 0; n < held.waiting.size();)
    {
        if (now < held.waiting[n].deadline)
        {
            ++n;
            continue;
        }
        refuse(
            held.waiting[n],
            result_code::budget_unavailable,
            "the log or a router that may hold tokens did not respond in time");
        held.waiting.erase(held.waiting.begin() + std::ptrdiff_t(n));
    }
    serve_queue(held);
}

void budget_holder::tick()
{
    auto const now = hooks_.now();
    submit_usage();
    for (auto const& id : std::set<budget_id>(with_waiting_))
    {
        auto& held = held_budgets_.at(id);
        expire_waiting(held, now);
        if (!held.waiting.empty())
            size_grants(held, now);
    }
    if (now - sized_at_ >= settings_.sizing_interval)
    {
        sized_at_ = now;
        for (auto& [id, held] : held_budgets_)
            size_grants(held, now);
    }
    deliver();
}

void budget_holder::begin_shutdown()
{
    is_shutting_down_ = true;
    for (auto& [id, held] : held_budgets_)
    {
        for (auto& waiting : held.waiting)
            refuse(waiting, result_code::shutting_down, "the router is shutting down");
        held.waiting.clear();
        return_tokens(held, held.account.free());
    }
    with_waiting_.clear();
    deliver();
}

bool budget_holder::is_drained() const
{
    // Abandoned attempts do not delay shutdown: peers recover their grants after the process ended.
    auto const has_no_draw = std::all_of(
        held_budgets_.begin(),
        held_budgets_.end(),
        [](auto const& item) { return item.second.draw_sequence < 0; });
    auto const is_idle = std::all_of(
        attempts_.begin(),
        attempts_.end(),
        [](auto const& item) { return item.second.state == attempt_state::abandoned; });
    return is_shutting_down_ && has_no_draw && is_idle && returns_in_flight_.empty();
}

void budget_holder::report_event(std::string name, budget_id const& budget, std::string detail)
    const
{
    if (!hooks_.record_event)
        return;
    event entry;
    entry.part = "budget";
    entry.name = std::move(name);
    entry.budget = to_text(budget);
    entry.detail = std::move(detail);
    hooks_.record_event(std::move(entry));
}

} // namespace almondcart
