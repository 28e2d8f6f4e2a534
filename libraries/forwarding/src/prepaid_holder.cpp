#include <almondcart/core/hash.hpp>
#include <almondcart/forwarding/prepaid_holder.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace almondcart::forwarding {

namespace {

/// Share of the target below which a gateway draws even if no request waits.
constexpr double low_watermark = 0.85;

/// Share of a total that counts as used up while gateways hold it in pieces smaller than a request.
constexpr double scattered_share = 0.03;

} // namespace

std::string_view name_of(reservation_result result)
{
    static constexpr std::array<std::string_view, 3> names{"granted", "exhausted", "unavailable"};
    return names.at(static_cast<std::size_t>(result));
}

prepaid_holder::prepaid_holder(prepaid_holder_settings settings, hooks hooks)
    : settings_(std::move(settings))
    , hooks_(std::move(hooks))
    , random_(hash64(settings_.vm))
    , writer_(
          settings_.writer,
          static_cast<std::uint64_t>(hooks_.wall_time_ms()),
          create_writer_hooks())
    , started_(hooks_.clock())
    , started_wall_ms_(hooks_.wall_time_ms())
{}

draw_writer::hooks prepaid_holder::create_writer_hooks()
{
    draw_writer::hooks hooks;
    hooks.clock = hooks_.clock;
    hooks.append = hooks_.append;
    hooks.on_end =
        [this](write_outcome outcome, std::vector<draw_record> const& records, std::int64_t offset)
    { finish_write(outcome, records, offset); };
    return hooks;
}

void prepaid_holder::reserve(
    std::string const& account,
    std::int64_t tokens,
    duration timeout,
    reservation_callback done)
{
    auto const total = hooks_.total(account);
    if (!total)
    {
        done(reservation_result::granted);
        return;
    }
    // It will never be served, so it is no demand that other requests should wait for.
    if (tokens < 0 || tokens > *total)
    {
        done(reservation_result::exhausted);
        return;
    }
    auto& state = accounts_[account];
    state.demand.add(tokens);
    state.largest_request = std::max(state.largest_request, tokens);
    state.last_request = hooks_.clock();
    if (state.waiting.empty() && spendable(state) >= tokens)
    {
        state.spend(tokens);
        done(reservation_result::granted);
        return;
    }
    auto const now = hooks_.clock();
    state.waiting.push_back({tokens, now, now + timeout, std::move(done)});
    tick();
}

void prepaid_holder::settle(std::string const& account, std::int64_t reserved, std::int64_t used)
{
    if (!hooks_.total(account))
        return;
    accounts_[account].refund(std::max<std::int64_t>(0, reserved - used));
    serve_waiting();
}

void prepaid_holder::apply(std::int64_t offset, draw_record const& record)
{
    ledger_.apply(offset, record);
    resolve_claim();
}

void prepaid_holder::skip(std::int64_t offset)
{
    ledger_.skip(offset);
    resolve_claim();
}

void prepaid_holder::advance(std::int64_t end)
{
    ledger_.advance(end);
    if (!std::exchange(is_synced_, true))
        take_over();
    resolve_claim();
    tick();
}

void prepaid_holder::take_over()
{
    for (auto const& [owner, entry] : ledger_.entries())
    {
        if (owner.vm == settings_.vm)
            take_over(owner, entry.record);
    }
}

void prepaid_holder::take_over(draw_owner const& owner, draw_record const& record)
{
    clock_reading const start{started_.since_epoch.count(), started_wall_ms_};
    auto const elapsed = elapsed_upper_bound(record.written, start, settings_.clock_error);
    auto const spent = std::min(record.claimed_tokens, record.spending.limit_after(elapsed));
    auto& state = accounts_[owner.account];
    state.take_over(spent, record.claimed_tokens, hooks_.clock());
    state.demand.start(static_cast<double>(record.demand_per_s), hooks_.clock());
    state.largest_request =
        account_outlook::estimate_largest_request(record.spending, record.demand_per_s);
    if (hooks_.on_takeover)
        hooks_.on_takeover(
            owner.account, record.claimed_tokens - spent, spent - record.spending.spent_tokens);
}

std::int64_t prepaid_holder::free_tokens(std::string const& account) const
{
    auto const it = accounts_.find(account);
    return it == accounts_.end() ? 0 : it->second.free_tokens();
}

std::int64_t prepaid_holder::spendable_tokens(std::string const& account) const
{
    auto const it = accounts_.find(account);
    return it == accounts_.end() ? 0 : spendable(it->second);
}

std::int64_t prepaid_holder::demand_per_s(std::string const& account) const
{
    auto const it = accounts_.find(account);
    return it == accounts_.end() ? 0 : static_cast<std::int64_t>(it->second.demand.per_s());
}

std::int64_t prepaid_holder::spendable(token_account const& state) const
{
    return writer_.is_fenced() ? 0 : state.spendable(hooks_.clock());
}

std::int64_t prepaid_holder::remaining(std::string const& account, token_account const& state) const
{
    auto const total = hooks_.total(account);
    if (!total)
        return 0;
    auto const others = ledger_.claimed(account) - ledger_.claimed_by({account, settings_.vm});
    return std::max<std::int64_t>(0, *total - others - state.held_tokens());
}

std::int64_t prepaid_holder::unspent(std::string const& account, token_account const& state) const
{
    auto const total = hooks_.total(account);
    if (!total)
        return 0;
    auto const others = ledger_.totals_of(account) - ledger_.totals_by({account, settings_.vm});
    auto const scattered = static_cast<std::int64_t>(scattered_share * static_cast<double>(*total));
    return *total - scattered - others.spent_tokens - state.spent_tokens();
}

bool prepaid_holder::is_log_stalled() const
{
    bool const is_claim_stalled =
        claim_ && hooks_.clock() - claim_since_ >= settings_.stall_timeout;
    return is_claim_stalled || writer_.is_fenced() ||
           writer_.stalled_for() >= settings_.stall_timeout;
}

duration prepaid_holder::report_interval() const
{
    // Limits the reports of all gateways together to about half of the capacity of a slow log.
    constexpr int log_share_divisor = 2;
    auto const writers = static_cast<std::int64_t>(ledger_.active_vm_count());
    return std::max(settings_.report_interval, writer_.append_time() * log_share_divisor * writers);
}

account_outlook
prepaid_holder::outlook(std::string const& account, token_account const& state) const
{
    draw_owner const owner{account, settings_.vm};
    auto const others = ledger_.totals_of(account) - ledger_.totals_by(owner);
    account_outlook result;
    result.demand_per_s = is_stopping_ ? 0 : state.demand.per_s();
    result.others_demand_per_s =
        static_cast<double>(std::max<std::int64_t>(0, others.demand_per_s));
    result.unclaimed_tokens = remaining(account, state);
    result.free_tokens = state.free_tokens();
    result.others_free_tokens =
        std::max<std::int64_t>(0, others.claimed_tokens - others.spent_tokens);
    result.largest_request = state.largest_request;
    result.total_tokens = hooks_.total(account).value_or(0);
    return result;
}

std::int64_t
prepaid_holder::compute_delta(std::string const& account, token_account const& state) const
{
    std::int64_t needed = 0;
    auto const left = remaining(account, state);
    auto const free = state.free_tokens();
    for (auto const& it : state.waiting)
    {
        if (needed + it.tokens - free <= left)
            needed += it.tokens;
    }
    auto const view = outlook(account, state);
    auto const target = view.target_free(settings_.horizon);
    auto const watermark = static_cast<std::int64_t>(low_watermark * static_cast<double>(target));
    bool const is_low = free < needed || (is_report_time_ && free < needed + watermark);
    if (is_low)
        return std::clamp<std::int64_t>(needed + target - free, 0, left);
    if (is_stopping_)
        return -std::clamp<std::int64_t>(free - needed, 0, state.held_tokens());
    if (!is_return_due_)
        return 0;
    bool const is_giving_up = is_report_time_ && is_idle(state);
    auto const excess = view.excess_free(needed, settings_.horizon, is_giving_up);
    return -std::min(excess, state.held_tokens());
}

bool prepaid_holder::is_idle(token_account const& state) const
{
    return hooks_.clock() - state.last_request >= settings_.idle_time;
}

bool prepaid_holder::is_report_due(token_account const& state) const
{
    // A waiting request that the free tokens cover is held up only by the reported spending limit.
    bool const is_held_up =
        !state.waiting.empty() && state.waiting.front().tokens <= state.free_tokens();
    return is_held_up || state.is_report_missing() ||
           (is_report_time_ && state.spent_tokens() != state.reported().spent_tokens);
}

std::optional<reservation_result> prepaid_holder::try_resolve(
    std::string const& account,
    token_account& state,
    waiting_request& request)
{
    auto const now = hooks_.clock();
    if (spendable(state) >= request.tokens)
        return reservation_result::granted;
    bool const is_claim_pending = writer_.is_writing() || claim_;
    bool const exceeds_total =
        !is_claim_pending && request.tokens - state.free_tokens() > remaining(account, state);
    bool const is_stalled = is_log_stalled();
    bool const is_peer_delay_over = now - request.since >= settings_.peer_delay;
    bool const is_expired = now >= request.expires;
    if (!is_expired && (exceeds_total || is_stalled || is_peer_delay_over) &&
        ask_peers(account, state, request))
        return std::nullopt;
    // What others hold may be out of reach, for example on a VM that is gone, but it is not spent.
    if (exceeds_total)
        return request.tokens > unspent(account, state) ? reservation_result::exhausted
                                                        : reservation_result::unavailable;
    if (is_expired || is_stalled)
        return reservation_result::unavailable;
    return std::nullopt;
}

bool prepaid_holder::ask_peers(
    std::string const& account,
    token_account& state,
    waiting_request& request)
{
    if (state.is_asking_peers)
        return true;
    if (!hooks_.ask_peers || request.peer_rounds >= settings_.peer_rounds)
        return false;
    std::int64_t waiting = 0;
    for (auto const& it : state.waiting)
        waiting += it.tokens;
    auto const needed = waiting - std::max<std::int64_t>(0, spendable(state));
    double const horizon_s = std::chrono::duration<double>(settings_.peer_horizon).count();
    auto const ahead = static_cast<std::int64_t>(state.demand.per_s() * horizon_s);
    state.is_asking_peers = hooks_.ask_peers({account, needed, needed + ahead});
    request.peer_rounds += state.is_asking_peers ? 1 : 0;
    return state.is_asking_peers;
}

void prepaid_holder::finish_peer_round(std::string const& account)
{
    accounts_[account].is_asking_peers = false;
    serve_waiting();
}

token_transfer prepaid_holder::transfer_out(token_request const& request)
{
    if (!hooks_.total(request.account))
        return {};
    auto& state = accounts_[request.account];
    auto available = spendable(state);
    for (auto const& it : state.waiting)
        available -= it.tokens;
    available = std::max<std::int64_t>(0, available);
    auto const tokens =
        outlook(request.account, state)
            .gift(request.needed_tokens, request.wanted_tokens, available, is_idle(state));
    state.spend(tokens);
    return {tokens, state.free_tokens()};
}

void prepaid_holder::transfer_in(std::string const& account, std::int64_t tokens)
{
    accounts_[account].refund(tokens);
    serve_waiting();
}

void prepaid_holder::serve_waiting()
{
    // Guards against recursion, because callbacks may reserve again.
    if (std::exchange(is_serving_, true))
        return;
    std::vector<std::pair<reservation_callback, reservation_result>> results;
    for (auto& [account, state] : accounts_)
    {
        while (!state.waiting.empty())
        {
            auto& next = state.waiting.front();
            auto const result = try_resolve(account, state, next);
            if (!result)
                break;
            if (*result == reservation_result::granted)
                state.spend(next.tokens);
            results.emplace_back(std::move(next.done), *result);
            state.waiting.pop_front();
        }
    }
    is_serving_ = false;
    for (auto& [done, result] : results)
        done(result);
}

void prepaid_holder::tick()
{
    auto const now = hooks_.clock();
    for (auto& [account, state] : accounts_)
        state.demand.update(now);
    is_report_time_ = now >= next_report_;
    is_return_due_ = now >= next_return_;
    if (is_return_due_)
        next_return_ = now + settings_.return_interval;
    serve_waiting();
    writer_.tick();
    if (is_synced_ && !claim_ && now >= next_write_ && writer_.is_idle())
        write();
    is_return_due_ = false;
    is_report_time_ = false;
}

draw_record prepaid_holder::create_record(
    std::string const& account,
    token_account const& state,
    std::int64_t delta)
{
    draw_record record;
    record.owner = {account, settings_.vm};
    record.claimed_tokens = state.held_tokens() + delta;
    record.demand_per_s = static_cast<std::int64_t>(state.demand.per_s());
    record.peer_address = settings_.peer_address;
    record.written = {hooks_.clock().since_epoch.count(), hooks_.wall_time_ms()};
    // Waiting requests start as soon as the report is on the log, so it counts them as spent.
    std::int64_t waiting = 0;
    for (auto const& it : state.waiting)
    {
        if (waiting + it.tokens <= state.free_tokens() + std::max<std::int64_t>(0, delta))
            waiting += it.tokens;
    }
    // The spent tokens are negative if more were transferred in than spent.
    auto const spent = std::max<std::int64_t>(0, state.spent_tokens() + waiting);
    auto view = outlook(account, state);
    view.free_tokens += delta - waiting;
    view.unclaimed_tokens -= delta;
    record.spending = view.limit_spending(spent);
    return record;
}

void prepaid_holder::write()
{
    std::vector<draw_record> records;
    for (auto& [account, state] : accounts_)
    {
        auto const delta = compute_delta(account, state);
        if (delta == 0 && !is_report_due(state) && !state.is_withdrawal_due())
            continue;
        records.push_back(create_record(account, state, delta));
        state.begin_write(
            records.back().spending, std::max<std::int64_t>(0, -delta), hooks_.clock());
    }
    if (records.empty())
        return;
    next_report_ = hooks_.clock() + report_interval();
    writer_.write(std::move(records));
}

void prepaid_holder::finish_write(
    write_outcome outcome,
    std::vector<draw_record> const& records,
    std::int64_t offset)
{
    for (auto const& record : records)
    {
        auto& state = accounts_[record.owner.account];
        if (outcome == write_outcome::appended)
            state.finish_write(record.claimed_tokens, {duration(record.written.boot_ms)});
        else if (outcome == write_outcome::not_appended)
            state.cancel_write();
        else
            state.mark_write_uncertain(record.claimed_tokens);
    }
    if (outcome == write_outcome::appended)
        start_claim(records, offset);
    serve_waiting();
}

void prepaid_holder::start_claim(std::vector<draw_record> const& records, std::int64_t offset)
{
    claim_ = {records, offset + static_cast<std::int64_t>(records.size())};
    claim_since_ = hooks_.clock();
    if (ledger_.end() == offset && ledger_.is_consistent())
    {
        for (auto const& record : records)
            ledger_.apply(offset++, record);
    }
    bool const has_open_claim = std::ranges::any_of(
        records,
        [this](auto const& it) { return accounts_[it.owner.account].is_withdrawal_due(); });
    if (!has_open_claim)
        claim_.reset();
    resolve_claim();
    if (claim_)
        hooks_.on_read_needed();
}

bool prepaid_holder::is_within_total(draw_record const& record) const
{
    auto const total = hooks_.total(record.owner.account);
    return total && ledger_.is_consistent() && ledger_.claimed(record.owner.account) <= *total;
}

void prepaid_holder::resolve_claim()
{
    if (!claim_ || ledger_.end() < claim_->end || !ledger_.is_consistent())
        return;
    auto const records = std::exchange(claim_, std::nullopt)->records;
    for (auto const& record : records)
    {
        auto& state = accounts_[record.owner.account];
        if (!state.is_withdrawal_due())
            continue;
        bool const is_accepted = is_within_total(record);
        if (is_accepted)
            state.accept_claim();
        else
        {
            // Randomized, because gateways that all retry at once would all be rejected again.
            auto const writers = static_cast<std::int64_t>(ledger_.active_vm_count());
            next_write_ = hooks_.clock() + random_.between(duration(0), duration(writers));
        }
        if (hooks_.on_claim)
            hooks_.on_claim(record, is_accepted);
    }
    serve_waiting();
}

void prepaid_holder::begin_shutdown()
{
    is_stopping_ = true;
}

bool prepaid_holder::is_busy() const
{
    if (writer_.is_writing() || claim_)
        return true;
    return std::any_of(
        accounts_.begin(),
        accounts_.end(),
        [](auto const& it)
        { return std::min(it.second.free_tokens(), it.second.held_tokens()) > 0; });
}

} // namespace almondcart::forwarding
