#include <almondcart/routing/admission_queue.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace almondcart {

namespace {

constexpr double smoothing = 0.1;      ///< weight of a new sample in the times of a kind
constexpr double rate_smoothing = 0.3; ///< weight of the last period in arrival rates
constexpr duration rate_period{1000};

/// Age at which an estimate of the time to first byte starts to fade, and its half-life.
constexpr duration estimate_half_life{1000};

/// A priority keeps at least this share of the slots in estimates, so that a burst of more
/// important work makes waits long but finite.
constexpr double least_share = 0.02;

/// Deviations added to the mean time to first byte. With the mean alone, half of the requests that
/// are dispatched at the last moment would miss their deadline.
constexpr double first_byte_deviations = 2;

double to_ms(duration it)
{
    return static_cast<double>(it.count());
}

duration from_ms(double it)
{
    constexpr double longest_ms = 86'400'000;
    return duration(static_cast<duration::rep>(std::ceil(std::min(it, longest_ms))));
}

int clamp_priority(int priority)
{
    return std::clamp(priority, 0, admission_queue::priority_count - 1);
}

} // namespace

admission_queue::admission_queue(
    clock_function clock,
    admission_hooks hooks,
    admission_settings settings)
    : clock_(std::move(clock))
    , hooks_(std::move(hooks))
    , settings_(settings)
    , rates_since_(clock_())
{}

std::optional<refusal> admission_queue::try_enqueue(admission_entry const& entry)
{
    auto const now = clock_();
    if (entry.deadline <= now)
        return make_refusal(result_code::deadline_passed, "the deadline has passed");
    update_rates();
    auto const times = times_of(entry.kind);
    auto const needed = from_ms(
        to_ms(estimated_wait(entry)) * settings_.safety_factor + times.latest_first_byte_ms());
    if (now + needed > entry.deadline)
        return overloaded(entry, "the deadline cannot be met");
    if (waiting_ >= settings_.capacity && !shed_below(clamp_priority(entry.priority)))
        return overloaded(entry, "the queue is full");

    auto& queue = classes_.at(static_cast<std::size_t>(clamp_priority(entry.priority)));
    auto& entries = queue.accounts[entry.account];
    if (entries.empty())
        queue.turns.push_back(entry.account);
    entries.push_back(entry);
    ++queue.size;
    ++waiting_;
    queue.work_recent += times.hold_ms;
    pump();
    return std::nullopt;
}

void admission_queue::set_limit(int limit)
{
    limit_ = std::max(0, limit);
    pump();
}

void admission_queue::first_byte(std::uint64_t ticket)
{
    auto const it = running_.find(ticket);
    if (it == running_.end() || it->second.has_first_byte)
        return;
    it->second.has_first_byte = true;
    auto const sample = to_ms(clock_() - it->second.started);
    auto times = times_of(it->second.kind);
    auto const error = sample - times.first_byte_ms;
    times.first_byte_ms += smoothing * error;
    times.first_byte_deviation_ms += smoothing * (std::abs(error) - times.first_byte_deviation_ms);
    times.last_first_byte = clock_();
    kinds_[it->second.kind] = times;
}

void admission_queue::finished(std::uint64_t ticket, bool is_measured)
{
    auto const it = running_.find(ticket);
    if (it == running_.end())
        return;
    if (is_measured)
    {
        auto const sample = to_ms(clock_() - it->second.started);
        auto& times = kinds_.try_emplace(it->second.kind, times_of(it->second.kind)).first->second;
        times.hold_ms += smoothing * (sample - times.hold_ms);
    }
    if (it->second.priority == 0)
        --running_interactive_;
    running_.erase(it);
    pump();
}

bool admission_queue::cancel(std::uint64_t ticket)
{
    for (auto& queue : classes_)
    {
        for (auto& [account, entries] : queue.accounts)
        {
            auto const it = std::find_if(
                entries.begin(),
                entries.end(),
                [&](auto const& entry) { return entry.ticket == ticket; });
            if (it == entries.end())
                continue;
            entries.erase(it);
            removed_from(queue, account);
            return true;
        }
    }
    return false;
}

void admission_queue::tick()
{
    update_rates();
    std::vector<std::pair<std::uint64_t, refusal>> refused;
    drop_expired(refused);
    for (auto const& [ticket, reason] : refused)
        hooks_.refuse(ticket, reason);
    pump();
}

void admission_queue::drop_expired(std::vector<std::pair<std::uint64_t, refusal>>& refused)
{
    auto const now = clock_();
    for (auto& queue : classes_)
    {
        // Removal of an account's last entry erases the account, so names are collected first.
        std::vector<std::string> const accounts(queue.turns.begin(), queue.turns.end());
        for (auto const& account : accounts)
        {
            auto& entries = queue.accounts.at(account);
            auto const is_expired = [&](auto const& it) { return it.deadline <= now; };
            auto const first = std::stable_partition(
                entries.begin(), entries.end(), [&](auto const& it) { return !is_expired(it); });
            auto const n = static_cast<std::size_t>(std::distance(first, entries.end()));
            for (auto it = first; it != entries.end(); ++it)
            {
                refused.emplace_back(
                    it->ticket,
                    make_refusal(result_code::deadline_passed, "the deadline passed in the queue"));
            }
            entries.erase(first, entries.end());
            if (n > 0)
                removed_from(queue, account, n);
        }
    }
}

void admission_queue::removed_from(
    priority_class& queue,
    std::string const& account,
    std::size_t count)
{
    queue.size -= count;
    waiting_ -= count;
    auto const it = queue.accounts.find(account);
    if (it == queue.accounts.end() || !it->second.empty())
        return;
    std::erase(queue.turns, it->first);
    queue.accounts.erase(it);
}

void admission_queue::pump()
{
    if (is_pumping_)
        return;
    is_pumping_ = true;
    while (dispatch_next())
    {}
    is_pumping_ = false;
}

bool admission_queue::dispatch_next()
{
    auto const now = clock_();
    for (int priority = 0; priority < priority_count; ++priority)
    {
        auto& queue = classes_.at(static_cast<std::size_t>(priority));
        if (queue.size == 0)
            continue;
        if (running() >= limit_of(priority))
            return false;
        auto const entry = take_next(queue);
        if (entry.deadline <= now)
        {
            hooks_.refuse(
                entry.ticket,
                make_refusal(result_code::deadline_passed, "the deadline passed in the queue"));
            return true;
        }
        if (now + from_ms(times_of(entry.kind).latest_first_byte_ms()) > entry.deadline)
        {
            hooks_.refuse(entry.ticket, overloaded(entry, "the deadline can no longer be met"));
            return true;
        }
        running_[entry.ticket] = {entry.kind, priority, now, false};
        if (priority == 0)
            ++running_interactive_;
        hooks_.dispatch(entry.ticket);
        return true;
    }
    return false;
}

int admission_queue::limit_of(int priority) const
{
    // Nothing is kept free while no interactive work arrives.
    constexpr double least_rate = 0.01;
    if (priority == 0 || (classes_[0].work_rate < least_rate && classes_[0].work_recent == 0))
        return limit_;
    double const expected = classes_[0].work_rate;
    double const wanted = expected + settings_.interactive_deviations * std::sqrt(expected);
    auto const reserved = static_cast<int>(
        std::ceil(std::max(limit_ * settings_.interactive_share, wanted - running_interactive_)));
    return std::max(std::min(limit_, 1), limit_ - reserved);
}

admission_entry admission_queue::take_next(priority_class& from)
{
    auto const account = from.turns.front();
    from.turns.pop_front();
    auto& entries = from.accounts.at(account);
    auto entry = std::move(entries.front());
    entries.pop_front();
    if (!entries.empty())
        from.turns.push_back(account);
    removed_from(from, account);
    return entry;
}

bool admission_queue::shed_below(int priority)
{
    for (int it = priority_count - 1; it > priority; --it)
    {
        auto& queue = classes_.at(static_cast<std::size_t>(it));
        if (queue.size == 0)
            continue;
        // The newest entry of the account with most entries has waited least.
        auto const longest = std::max_element(
            queue.accounts.begin(),
            queue.accounts.end(),
            [](auto const& l, auto const& r) { return l.second.size() < r.second.size(); });
        auto const entry = longest->second.back();
        longest->second.pop_back();
        removed_from(queue, entry.account);
        hooks_.refuse(entry.ticket, overloaded(entry, "shed for more important work"));
        return true;
    }
    return false;
}

refusal admission_queue::overloaded(admission_entry const& entry, std::string_view detail) const
{
    constexpr duration least_retry{100};
    auto const needed =
        estimated_wait(entry) + from_ms(times_of(entry.kind).latest_first_byte_ms());
    auto const allowed = entry.deadline - clock_();
    return make_refusal(result_code::overloaded, detail, std::max(least_retry, needed - allowed));
}

admission_queue::kind_times admission_queue::times_of(std::string const& kind) const
{
    auto const it = kinds_.find(kind);
    if (it == kinds_.end())
        return {
            to_ms(settings_.initial_hold_time), to_ms(settings_.initial_first_byte), 0, clock_()};
    auto times = it->second;
    auto const stale = to_ms(clock_() - times.last_first_byte) - to_ms(estimate_half_life);
    if (stale <= 0)
        return times;
    // An estimate that refuses everything gets no new sample, so it fades while it gets none.
    auto const weight = std::exp2(-stale / to_ms(estimate_half_life));
    auto const initial = to_ms(settings_.initial_first_byte);
    times.first_byte_ms = initial + weight * (times.first_byte_ms - initial);
    times.first_byte_deviation_ms *= weight;
    return times;
}

double admission_queue::kind_times::latest_first_byte_ms() const
{
    return first_byte_ms + first_byte_deviations * first_byte_deviation_ms;
}

double admission_queue::work_ahead_ms(admission_entry const& entry) const
{
    auto const priority = clamp_priority(entry.priority);
    double work = 0;
    for (int it = 0; it < priority; ++it)
    {
        for (auto const& [account, entries] : classes_.at(static_cast<std::size_t>(it)).accounts)
            work += static_cast<double>(entries.size()) * times_of(entries.front().kind).hold_ms;
    }
    // Accounts take turns, so another account is ahead with at most as many entries as this one
    // has already, and one more.
    auto const& accounts = classes_.at(static_cast<std::size_t>(priority)).accounts;
    auto const own = accounts.find(entry.account);
    auto const position = own == accounts.end() ? std::size_t{0} : own->second.size();
    for (auto const& [account, entries] : accounts)
    {
        auto const n = account == entry.account ? position : std::min(entries.size(), position + 1);
        work += static_cast<double>(n) * times_of(entries.front().kind).hold_ms;
    }
    return work;
}

duration admission_queue::estimated_wait(admission_entry const& entry) const
{
    if (limit_ == 0)
        return duration{0};
    auto const priority = clamp_priority(entry.priority);
    auto const slots = limit_of(priority);
    auto const ahead_ms = work_ahead_ms(entry);
    auto const hold_ms = times_of(entry.kind).hold_ms;
    auto const free = static_cast<double>(slots - running());
    auto const work_ms = ahead_ms + hold_ms * (1 - free);
    if (work_ms <= 0)
        return duration{0};
    double higher = 0;
    for (int it = 0; it < priority; ++it)
        higher += classes_.at(static_cast<std::size_t>(it)).work_rate;
    return from_ms(work_ms / std::max(slots - higher, slots * least_share));
}

void admission_queue::update_rates()
{
    auto const elapsed = clock_() - rates_since_;
    if (elapsed < rate_period)
        return;
    for (auto& it : classes_)
    {
        it.work_rate += rate_smoothing * (it.work_recent / to_ms(elapsed) - it.work_rate);
        it.work_recent = 0;
    }
    rates_since_ = clock_();
}

std::size_t admission_queue::waiting(int priority) const
{
    return classes_.at(static_cast<std::size_t>(clamp_priority(priority))).size;
}

} // namespace almondcart
