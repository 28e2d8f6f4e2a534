#include <almondcart/forwarding/prepaid_holder.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <utility>

namespace almondcart::forwarding {

namespace {

constexpr double milliseconds_per_second = 1000;

/// Part of what is left of a total that routers may draw ahead. Each counts what it holds itself as
/// left, so routers together hold about half of the rest.
constexpr double ahead_share = 0.8;

/// Part of its target below which a router draws without a waiting request.
constexpr double low_mark = 0.85;

} // namespace

std::string_view name_of(reservation result)
{
    static constexpr std::array<std::string_view, 3> names{"granted", "exhausted", "unavailable"};
    return names.at(static_cast<std::size_t>(result));
}

prepaid_holder::prepaid_holder(
    clock_function clock,
    prepaid_holder_settings settings,
    append_function append,
    total_function total)
    : clock_(std::move(clock))
    , settings_(std::move(settings))
    , append_(std::move(append))
    , total_(std::move(total))
{}

void prepaid_holder::reserve(
    std::string const& account,
    std::int64_t tokens,
    duration patience,
    reservation_callback done)
{
    if (!total_(account))
    {
        done(reservation::granted);
        return;
    }
    auto& state = accounts_[account];
    state.window_tokens += static_cast<double>(tokens);
    if (state.waiting.empty() && state.free_tokens >= tokens)
    {
        state.free_tokens -= tokens;
        done(reservation::granted);
        return;
    }
    state.waiting.push_back({tokens, clock_() + patience, std::move(done)});
    tick();
}

void prepaid_holder::settle(std::string const& account, std::int64_t reserved, std::int64_t used)
{
    if (!total_(account))
        return;
    accounts_[account].free_tokens += std::max<std::int64_t>(0, reserved - used);
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
    resolve();
    tick();
}

std::int64_t prepaid_holder::free_tokens(std::string const& account) const
{
    auto const it = accounts_.find(account);
    return it == accounts_.end() ? 0 : it->second.free_tokens;
}

std::int64_t prepaid_holder::remaining(std::string const& account) const
{
    auto const total = total_(account);
    return total ? std::max<std::int64_t>(0, *total - ledger_.drawn(account)) : 0;
}

bool prepaid_holder::is_log_silent() const
{
    return pending_ && clock_() - pending_->first_sent >= settings_.silence_limit;
}

void prepaid_holder::update_demand(account_state& state)
{
    auto const now = clock_();
    auto const elapsed = now - state.updated;
    if (elapsed <= duration(0))
        return;
    auto const ms = static_cast<double>(elapsed.count());
    double const keep = std::exp(-ms / static_cast<double>(settings_.demand_window.count()));
    double const rate = state.window_tokens * milliseconds_per_second / ms;
    state.demand_per_s = state.demand_per_s * keep + rate * (1 - keep);
    state.window_tokens = 0;
    state.updated = now;
}

std::int64_t
prepaid_holder::target_free(std::string const& account, account_state const& state) const
{
    if (is_stopping_)
        return 0;
    double const horizon_s =
        static_cast<double>(settings_.horizon.count()) / milliseconds_per_second;
    draw_owner const self{account, settings_.vm};
    double const others =
        static_cast<double>(ledger_.demand(account) - ledger_.demand_of(self));
    double const demand = state.demand_per_s;
    if (demand <= 0)
        return 0;
    // Counts what this process holds as left, so that the target does not depend on its own draws.
    double const left = static_cast<double>(remaining(account) + state.free_tokens);
    double const share = ahead_share * left * demand / (demand + std::max(0.0, others));
    return static_cast<std::int64_t>(std::min(demand * horizon_s, share));
}

std::int64_t
prepaid_holder::wanted_delta(std::string const& account, account_state const& state) const
{
    std::int64_t needed = 0;
    auto const left = remaining(account);
    for (auto const& it : state.waiting)
    {
        if (needed + it.tokens - state.free_tokens <= left)
            needed += it.tokens;
    }
    auto const target = target_free(account, state);
    auto const mark = static_cast<std::int64_t>(low_mark * static_cast<double>(target));
    bool const is_low =
        state.free_tokens < needed || (is_draw_due_ && state.free_tokens < needed + mark);
    if (is_low)
        return std::clamp<std::int64_t>(needed + target - state.free_tokens, 0, left);
    auto const excess = state.free_tokens - needed - 2 * target;
    bool const is_due = is_stopping_ || is_return_due_;
    // A returned token is of use to other routers only where little is left.
    bool const is_scarce = is_stopping_ || left < 2 * (state.free_tokens - needed);
    return excess > 0 && is_due && is_scarce ? -(state.free_tokens - needed - target) : 0;
}

void prepaid_holder::serve_waiting()
{
    // Callbacks may reserve again.
    if (std::exchange(is_serving_, true))
        return;
    auto const now = clock_();
    std::vector<std::pair<reservation_callback, reservation>> results;
    for (auto& [account, state] : accounts_)
    {
        while (!state.waiting.empty())
        {
            auto& next = state.waiting.front();
            bool const is_covered = state.free_tokens >= next.tokens;
            bool const is_expired = now >= next.expires || is_log_silent();
            bool const is_beyond =
                !pending_ && next.tokens - state.free_tokens > remaining(account);
            if (!is_covered && !is_expired && !is_beyond)
                break;
            auto result = is_covered ? reservation::granted
                          : is_beyond ? reservation::exhausted
                                      : reservation::unavailable;
            if (is_covered)
                state.free_tokens -= next.tokens;
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
    auto const now = clock_();
    for (auto& [account, state] : accounts_)
        update_demand(state);
    is_draw_due_ = now >= next_draw_;
    is_return_due_ = now >= next_return_;
    if (is_return_due_)
        next_return_ = now + settings_.return_interval;
    serve_waiting();
    if (pending_ && !pending_->is_in_flight && now >= next_attempt_)
        send();
    else if (!pending_ && now >= next_attempt_)
        start_append();
    is_return_due_ = false;
}

void prepaid_holder::start_append()
{
    pending_append append;
    for (auto& [account, state] : accounts_)
    {
        auto const delta = wanted_delta(account, state);
        if (delta == 0)
            continue;
        draw_owner owner{account, settings_.vm};
        auto const drawn = ledger_.drawn_by(owner) + delta;
        append.records.push_back(
            {std::move(owner),
             drawn,
             settings_.writer,
             next_sequence_,
             static_cast<std::int64_t>(state.demand_per_s)});
        append.deltas.emplace(account, delta);
        // Tokens that are given back must not be spent from here on.
        if (delta < 0)
            state.free_tokens += delta;
    }
    if (append.records.empty())
        return;
    append.at = ledger_.end();
    append.sequence = next_sequence_++;
    append.first_sent = clock_();
    next_draw_ = clock_() + settings_.draw_interval;
    pending_ = std::move(append);
    send();
}

void prepaid_holder::send()
{
    pending_->is_in_flight = true;
    append_(
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
        auto offset = pending_->at;
        for (auto const& record : pending_->records)
            ledger_.apply(offset++, record);
        conclude(true);
        return;
    }
    if (outcome == append_outcome::unknown)
    {
        pending_->is_unknown = true;
        next_attempt_ = clock_() + settings_.unknown_interval;
        return;
    }
    next_attempt_ = clock_() + settings_.retry_interval;
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
    for (auto const& [account, delta] : append.deltas)
    {
        auto& state = accounts_[account];
        if (is_applied && delta > 0)
            state.free_tokens += delta;
        // After an append without an answer, tokens that were to be given back stay unused: a later
        // record of the same owner may hide that it took effect.
        else if (!is_applied && delta < 0 && !append.is_unknown)
            state.free_tokens -= delta;
    }
    serve_waiting();
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
        accounts_.begin(), accounts_.end(), [](auto const& it) { return it.second.free_tokens > 0; });
}

} // namespace almondcart::forwarding
