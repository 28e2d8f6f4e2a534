#include <almondcart/core/hash.hpp>
#include <almondcart/forwarding/prepaid_holder.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace almondcart::forwarding {

namespace {

constexpr double milliseconds_per_second = 1000;

/// Part of what is left of a total that routers may draw ahead. Each counts what it holds itself as
/// left, so routers together hold about half of the rest. Where the rest covers less than the
/// horizon, the part shrinks with it, because more of it would be missed if its holders died.
constexpr double ahead_share = 0.8;
constexpr double smallest_ahead_share = 0.2;

/// Part of its target below which a router draws without a waiting request.
constexpr double low_mark = 0.85;

/// Spending that a report allows beyond what it states: some demand at once, and then more than
/// the usual demand, so that it binds only in a burst while the log is lost.
constexpr double slack_demand_s = 0.5;
constexpr double rate_factor = 1.3;

} // namespace

std::string_view name_of(reservation result)
{
    static constexpr std::array<std::string_view, 3> names{"granted", "exhausted", "unavailable"};
    return names.at(static_cast<std::size_t>(result));
}

prepaid_holder::prepaid_holder(prepaid_holder_settings settings, hooks hooks)
    : settings_(std::move(settings))
    , hooks_(std::move(hooks))
    , random_(hash64(settings_.writer) | 1U)
    , started_(hooks_.clock())
    , started_wall_ms_(hooks_.wall_time_ms())
{}

void prepaid_holder::reserve(
    std::string const& account,
    std::int64_t tokens,
    duration patience,
    reservation_callback done)
{
    if (!hooks_.total(account))
    {
        done(reservation::granted);
        return;
    }
    auto& state = accounts_[account];
    state.window_tokens += static_cast<double>(tokens);
    state.largest_request = std::max(state.largest_request, tokens);
    if (state.waiting.empty() && spendable(state) >= tokens)
    {
        state.spent_tokens += tokens;
        done(reservation::granted);
        return;
    }
    state.waiting.push_back({tokens, hooks_.clock() + patience, std::move(done)});
    tick();
}

void prepaid_holder::settle(std::string const& account, std::int64_t reserved, std::int64_t used)
{
    if (!hooks_.total(account))
        return;
    accounts_[account].spent_tokens -= std::max<std::int64_t>(0, reserved - used);
    serve_waiting();
}

void prepaid_holder::apply(std::int64_t offset, draw_record const& record)
{
    ledger_.apply(offset, record);
}

void prepaid_holder::skip(std::int64_t offset)
{
    ledger_.skip(offset);
}

void prepaid_holder::advance(std::int64_t end)
{
    ledger_.advance(end);
    is_synced_ = true;
    // An append of the predecessor may still arrive until the first one of this process.
    if (ledger_.last_sequence(settings_.writer) == 0)
        take_over();
    resolve();
    // After a conflict, the records that caused it are what a new try needs.
    if (conflict_at_ && ledger_.end() > *conflict_at_)
    {
        conflict_at_.reset();
        next_attempt_ = hooks_.clock() + conflict_pause();
    }
    tick();
}

void prepaid_holder::take_over()
{
    clock_reading const start{started_.since_epoch.count(), started_wall_ms_};
    for (auto const& [owner, entry] : ledger_.entries())
    {
        if (owner.vm != settings_.vm)
            continue;
        auto const& record = entry.record;
        auto& state = accounts_[owner.account];
        auto const elapsed = longest_elapsed(record.written, start, settings_.clock_error);
        state.drawn_tokens = record.drawn_tokens;
        state.spent_tokens = std::min(record.drawn_tokens, record.spending.limit_after(elapsed));
        // Nothing is spent before a report of this process is on the log, because a further start
        // would count from the predecessor's report.
        state.reported = {state.spent_tokens, 0, 0};
        state.reported_at = hooks_.clock();
        if (hooks_.on_takeover)
            hooks_.on_takeover(
                owner.account,
                state.free_tokens(),
                state.spent_tokens - record.spending.spent_tokens);
    }
}

std::int64_t prepaid_holder::free_tokens(std::string const& account) const
{
    auto const it = accounts_.find(account);
    return it == accounts_.end() ? 0 : it->second.free_tokens();
}

std::int64_t prepaid_holder::remaining(std::string const& account) const
{
    auto const total = hooks_.total(account);
    return total ? std::max<std::int64_t>(0, *total - ledger_.drawn(account)) : 0;
}

std::int64_t prepaid_holder::spendable(account_state const& state) const
{
    auto const now = hooks_.clock();
    auto limit = state.reported.limit_after(now - state.reported_at);
    if (state.reporting)
        limit = std::min(limit, state.reporting->limit_after(now - state.reporting_since));
    return std::min(state.free_tokens(), limit - state.spent_tokens);
}

bool prepaid_holder::is_log_silent() const
{
    return pending_ && hooks_.clock() - pending_->first_sent >= settings_.silence_limit;
}

duration prepaid_holder::conflict_pause()
{
    // Writers that all try again at once are all but one in conflict again. Reports are spread over
    // about the time that they take; draws for which requests wait go first, spread over less.
    constexpr duration report_turn{5};
    bool const is_urgent = std::any_of(
        accounts_.begin(),
        accounts_.end(),
        [](auto const& it) { return !it.second.waiting.empty(); });
    auto const writers = static_cast<std::int64_t>(ledger_.active_vm_count());
    auto const range = is_urgent ? duration(writers) : report_turn * writers;
    // xorshift64
    random_ ^= random_ << 13U;
    random_ ^= random_ >> 7U;
    random_ ^= random_ << 17U;
    return duration(
        static_cast<std::int64_t>(random_ % static_cast<std::uint64_t>(range.count() + 1)));
}

void prepaid_holder::check_answer()
{
    // An append may be repeated at its offset, where at most one of the copies takes effect.
    constexpr int usual_time_factor = 4;
    constexpr int doubling_limit = 5;
    if (!pending_ || !pending_->is_in_flight)
        return;
    // Each repeat waits twice as long, because a slow log has to do them all.
    auto const first_limit = std::max(settings_.answer_limit, append_time_ * usual_time_factor);
    auto const limit = first_limit * (1 << std::min(pending_->sent_count - 1, doubling_limit));
    if (hooks_.clock() - pending_->last_sent < limit)
        return;
    pending_->is_unknown = true;
    pending_->is_in_flight = false;
    next_attempt_ = hooks_.clock();
    resolve();
}

duration prepaid_holder::report_interval() const
{
    // Reports of all routers together take at most about half of a slow log's time, and leave time
    // for each router to learn of the others' appends.
    constexpr int log_time_factor = 2;
    constexpr duration learning_time{30};
    auto const writers = static_cast<std::int64_t>(ledger_.active_vm_count());
    auto const turn = std::max(append_time_ * log_time_factor, learning_time);
    return std::max(settings_.report_interval, turn * writers);
}

void prepaid_holder::update_demand(account_state& state)
{
    auto const now = hooks_.clock();
    auto const elapsed = now - state.updated;
    if (elapsed <= duration(0))
        return;
    auto const ms = static_cast<double>(elapsed.count());
    double const rate = state.window_tokens * milliseconds_per_second / ms;
    auto const follow = [&](double& estimate, duration window)
    {
        double const keep = std::exp(-ms / static_cast<double>(window.count()));
        estimate = estimate * keep + rate * (1 - keep);
    };
    follow(state.recent_demand_per_s, settings_.demand_window);
    follow(state.long_demand_per_s, settings_.long_demand_window);
    state.window_tokens = 0;
    state.updated = now;
}

std::int64_t
prepaid_holder::target_free(std::string const& account, account_state const& state) const
{
    double const demand = state.demand_per_s();
    if (is_stopping_ || demand <= 0)
        return 0;
    double const horizon_s =
        static_cast<double>(settings_.horizon.count()) / milliseconds_per_second;
    draw_owner const self{account, settings_.vm};
    auto const others = ledger_.demand(account) - ledger_.demand_of(self);
    // Counts what this process holds as left, so that the target does not depend on its own draws.
    double const left = static_cast<double>(remaining(account) + state.free_tokens());
    double const all_demand = demand + static_cast<double>(std::max<std::int64_t>(0, others));
    double const covered_s = left / all_demand;
    double const part =
        std::clamp(ahead_share * covered_s / horizon_s, smallest_ahead_share, ahead_share);
    return static_cast<std::int64_t>(std::min(demand * horizon_s, part * covered_s * demand));
}

std::int64_t
prepaid_holder::wanted_delta(std::string const& account, account_state const& state) const
{
    std::int64_t needed = 0;
    auto const left = remaining(account);
    auto const free = state.free_tokens();
    for (auto const& it : state.waiting)
    {
        if (needed + it.tokens - free <= left)
            needed += it.tokens;
    }
    auto const target = target_free(account, state);
    auto const mark = static_cast<std::int64_t>(low_mark * static_cast<double>(target));
    bool const is_low = free < needed || (is_report_time_ && free < needed + mark);
    if (is_low)
        return std::clamp<std::int64_t>(needed + target - free, 0, left);
    auto const excess = free - needed - 2 * target;
    bool const is_due = is_stopping_ || is_return_due_;
    // A returned token is of use to other routers only where little is left.
    bool const is_scarce = is_stopping_ || left < 2 * (free - needed);
    return excess > 0 && is_due && is_scarce ? -(free - needed - target) : 0;
}

bool prepaid_holder::is_report_due(account_state const& state) const
{
    // A waiting request that is covered waits only for the limit of the last report.
    bool const is_wanted =
        !state.waiting.empty() && state.waiting.front().tokens <= state.free_tokens();
    return is_wanted || (is_report_time_ && state.spent_tokens != state.reported.spent_tokens);
}

void prepaid_holder::serve_waiting()
{
    // Callbacks may reserve again.
    if (std::exchange(is_serving_, true))
        return;
    auto const now = hooks_.clock();
    std::vector<std::pair<reservation_callback, reservation>> results;
    for (auto& [account, state] : accounts_)
    {
        while (!state.waiting.empty())
        {
            auto& next = state.waiting.front();
            bool const is_covered = spendable(state) >= next.tokens;
            bool const is_expired = now >= next.expires || is_log_silent();
            bool const is_beyond =
                !pending_ && next.tokens - state.free_tokens() > remaining(account);
            if (!is_covered && !is_expired && !is_beyond)
                break;
            auto const result = is_covered  ? reservation::granted
                                : is_beyond ? reservation::exhausted
                                            : reservation::unavailable;
            if (is_covered)
                state.spent_tokens += next.tokens;
            results.emplace_back(std::move(next.done), result);
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
        update_demand(state);
    is_report_time_ = now >= next_report_;
    is_return_due_ = now >= next_return_;
    if (is_return_due_)
        next_return_ = now + settings_.return_interval;
    serve_waiting();
    check_answer();
    if (pending_ && !pending_->is_in_flight && now >= next_attempt_)
        send();
    else if (!pending_ && is_synced_ && now >= next_attempt_)
        start_append();
    is_return_due_ = false;
    is_report_time_ = false;
}

draw_record
prepaid_holder::create_record(std::string const& account, account_state& state, std::int64_t delta)
{
    draw_record record;
    record.owner = {account, settings_.vm};
    record.drawn_tokens = state.drawn_tokens + delta;
    record.writer = settings_.writer;
    record.sequence = next_sequence_;
    record.demand_per_s = static_cast<std::int64_t>(state.demand_per_s());
    record.written = {hooks_.clock().since_epoch.count(), hooks_.wall_time_ms()};
    // Waiting requests start as soon as the report is on the log, so they count as spent in it.
    std::int64_t waiting = 0;
    for (auto const& it : state.waiting)
    {
        if (waiting + it.tokens <= state.free_tokens() + std::max<std::int64_t>(0, delta))
            waiting += it.tokens;
    }
    record.spending.spent_tokens = state.spent_tokens + waiting;
    auto const slack = static_cast<std::int64_t>(state.demand_per_s() * slack_demand_s);
    record.spending.slack_tokens = std::max(slack, state.largest_request / 2);
    record.spending.rate_per_s = static_cast<std::int64_t>(state.demand_per_s() * rate_factor);
    return record;
}

void prepaid_holder::start_append()
{
    pending_append append;
    for (auto& [account, state] : accounts_)
    {
        auto const delta = wanted_delta(account, state);
        if (delta == 0 && !is_report_due(state))
            continue;
        // Tokens that are given back must not be spent from here on.
        state.returning_tokens = delta < 0 ? -delta : 0;
        append.records.push_back(create_record(account, state, delta));
        state.reporting = append.records.back().spending;
        state.reporting_since = hooks_.clock();
    }
    if (append.records.empty())
        return;
    append.at = ledger_.end();
    append.sequence = next_sequence_++;
    append.first_sent = hooks_.clock();
    next_report_ = hooks_.clock() + report_interval();
    pending_ = std::move(append);
    send();
}

void prepaid_holder::send()
{
    pending_->is_in_flight = true;
    pending_->last_sent = hooks_.clock();
    ++pending_->sent_count;
    hooks_.append(
        pending_->at,
        pending_->records,
        [this, sequence = pending_->sequence](append_outcome outcome)
        { finish_append(sequence, outcome); });
}

void prepaid_holder::finish_append(std::uint64_t sequence, append_outcome outcome)
{
    if (!pending_ || pending_->sequence != sequence)
        return;
    pending_->is_in_flight = false;
    bool const was_unknown = pending_->is_unknown;
    if (outcome == append_outcome::appended)
    {
        auto const time = hooks_.clock() - pending_->first_sent;
        append_time_ = (append_time_ + time) / 2;
        auto offset = pending_->at;
        for (auto const& record : pending_->records)
            ledger_.apply(offset++, record);
        conclude(true);
        return;
    }
    if (outcome == append_outcome::unknown)
    {
        pending_->is_unknown = true;
        next_attempt_ = hooks_.clock() + settings_.unknown_interval;
        return;
    }
    next_attempt_ = hooks_.clock() + settings_.retry_interval;
    if (outcome == append_outcome::conflict)
        conflict_at_ = pending_->at;
    // The append may be what moved the end of the log, if an earlier try had no answer. The records
    // that follow decide.
    if (!was_unknown)
        conclude(false);
    else
        resolve();
}

void prepaid_holder::resolve()
{
    if (!pending_ || ledger_.end() <= pending_->at)
        return;
    bool const is_applied = ledger_.last_sequence(settings_.writer) >= pending_->sequence;
    if (is_applied || !pending_->is_in_flight)
        conclude(is_applied);
}

void prepaid_holder::conclude(bool is_applied)
{
    auto const append = *std::exchange(pending_, std::nullopt);
    for (auto const& record : append.records)
    {
        auto& state = accounts_[record.owner.account];
        auto const returned = std::exchange(state.returning_tokens, 0);
        state.reporting.reset();
        if (is_applied)
            acknowledge(record);
        // After an append without an answer, tokens that were to be given back stay unused: a later
        // record of the same owner may hide that it took effect.
        else if (append.is_unknown)
            state.spent_tokens += returned;
    }
    serve_waiting();
}

void prepaid_holder::acknowledge(draw_record const& record)
{
    auto& state = accounts_[record.owner.account];
    state.drawn_tokens = record.drawn_tokens;
    state.reported = record.spending;
    // A successor counts from the same time.
    state.reported_at = {duration(record.written.boot_ms)};
}

void prepaid_holder::begin_shutdown()
{
    is_stopping_ = true;
}

bool prepaid_holder::is_busy() const
{
    if (pending_)
        return true;
    return std::any_of(
        accounts_.begin(),
        accounts_.end(),
        [](auto const& it) { return it.second.free_tokens() > 0; });
}

} // namespace almondcart::forwarding
