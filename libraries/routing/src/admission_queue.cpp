#include <almondcart/routing/admission_queue.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

namespace almondcart {

namespace {

constexpr double smoothing = 0.1;      ///< weight of a new sample in the times of a kind
constexpr double load_smoothing = 0.3; ///< weight of the last period in the offered load
constexpr duration load_period{1000};

/// Age after which an estimate of the time to first byte decays towards the initial value, and the
/// half-life of that decay.
constexpr duration estimate_half_life{1000};

/// Share of the slots that an estimate assumes for a priority at least, so that estimated waits
/// stay finite during a burst of more important work.
constexpr double min_share = 0.02;

/// Mean deviations added to the mean time to first byte. With the mean alone, half of the requests
/// that are dispatched at the last moment would miss their deadline.
constexpr double first_byte_deviations = 2;

double to_ms(duration value)
{
    return static_cast<double>(value.count());
}

duration from_ms(double milliseconds)
{
    constexpr double longest_ms = 86'400'000;
    return duration(static_cast<duration::rep>(std::ceil(std::min(milliseconds, longest_ms))));
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
    , load_period_start_(clock_())
{}

std::optional<refusal> admission_queue::try_enqueue(admission_entry const& entry)
{
    auto const now = clock_();
    if (entry.deadline <= now)
        return make_refusal(result_code::deadline_passed, "the deadline has passed");
    update_offered_load();
    auto const times = times_of(entry.kind);
    auto const needed = from_ms(
        to_ms(estimated_wait(entry)) * settings_.safety_factor + times.first_byte_bound_ms());
    if (now + needed > entry.deadline)
        return overloaded(entry, "the deadline cannot be met");
    if (waiting_ >= settings_.capacity && !shed_below(clamp_priority(entry.priority)))
        return overloaded(entry, "the queue is full");

    auto& queue = classes_.at(static_cast<std::size_t>(clamp_priority(entry.priority)));
    auto& entries = queue.accounts[entry.account];
    if (entries.empty())
        queue.round_robin.push_back(entry.account);
    entries.push_back(entry);
    ++queue.size;
    ++waiting_;
    queue.recent_work_ms += times.hold_ms;
    dispatch_waiting();
    return std::nullopt;
}

void admission_queue::set_limit(int limit)
{
    limit_ = std::max(0, limit);
    dispatch_waiting();
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
    dispatch_waiting();
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
            record_removal(queue, account);
            return true;
        }
    }
    return false;
}

void admission_queue::tick()
{
    update_offered_load();
    std::vector<std::pair<std::uint64_t, refusal>> refused;
    remove_expired(refused);
    for (auto const& [ticket, reason] : refused)
        hooks_.refuse(ticket, reason);
    dispatch_waiting();
}

void admission_queue::remove_expired(std::vector<std::pair<std::uint64_t, refusal>>& refused)
{
    auto const now = clock_();
    for (auto& queue : classes_)
    {
        // Removing an account's last entry erases the account, so the names are copied first.
        std::vector<std::string> const accounts(queue.round_robin.begin(), queue.round_robin.end());
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
                record_removal(queue, account, n);
        }
    }
}

void admission_queue::record_removal(
    priority_class& queue,
    std::string const& account,
    std::size_t count)
{
    queue.size -= count;
    waiting_ -= count;
    auto const it = queue.accounts.find(account);
    if (it == queue.accounts.end() || !it->second.empty())
        return;
    std::erase(queue.round_robin, it->first);
    queue.accounts.erase(it);
}

void admission_queue::dispatch_waiting()
{
    if (is_dispatching_)
        return;
    is_dispatching_ = true;
    while (dispatch_next())
    {}
    is_dispatching_ = false;
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
        if (now + from_ms(times_of(entry.kind).first_byte_bound_ms()) > entry.deadline)
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
    // No slots are reserved while no interactive work arrives.
    constexpr double min_load = 0.01;
    if (priority == 0 || (classes_[0].offered_load < min_load && classes_[0].recent_work_ms == 0))
        return limit_;
    double const expected = classes_[0].offered_load;
    double const wanted = expected + settings_.interactive_deviations * std::sqrt(expected);
    auto const reserved = static_cast<int>(
        std::ceil(std::max(limit_ * settings_.interactive_share, wanted - running_interactive_)));
    return std::max(std::min(limit_, 1), limit_ - reserved);
}

admission_entry admission_queue::take_next(priority_class& queue)
{
    auto const account = queue.round_robin.front();
    queue.round_robin.pop_front();
    auto& entries = queue.accounts.at(account);
    auto entry = std::move(entries.front());
    entries.pop_front();
    if (!entries.empty())
        queue.round_robin.push_back(account);
    record_removal(queue, account);
    return entry;
}

bool admission_queue::shed_below(int priority)
{
    for (int other = priority_count - 1; other > priority; --other)
    {
        auto& queue = classes_.at(static_cast<std::size_t>(other));
        if (queue.size == 0)
            continue;
        // The newest entry of the account with the most entries has waited the least.
        auto const longest_account = std::max_element(
            queue.accounts.begin(),
            queue.accounts.end(),
            [](auto const& left, auto const& right)
            { return left.second.size() < right.second.size(); });
        auto const entry = longest_account->second.back();
        longest_account->second.pop_back();
        record_removal(queue, entry.account);
        hooks_.refuse(entry.ticket, overloaded(entry, "shed for more important work"));
        return true;
    }
    return false;
}

refusal admission_queue::overloaded(admission_entry const& entry, std::string_view detail) const
{
    constexpr duration min_retry_delay{100};
    auto const needed = estimated_wait(entry) + from_ms(times_of(entry.kind).first_byte_bound_ms());
    auto const allowed = entry.deadline - clock_();
    return make_refusal(
        result_code::overloaded, detail, std::max(min_retry_delay, needed - allowed));
}

admission_queue::kind_times admission_queue::times_of(std::string const& kind) const
{
    auto const it = kinds_.find(kind);
    if (it == kinds_.end())
        return {
            to_ms(settings_.initial_hold_time), to_ms(settings_.initial_first_byte), 0, clock_()};
    auto times = it->second;
    auto const stale_ms = to_ms(clock_() - times.last_first_byte) - to_ms(estimate_half_life);
    if (stale_ms <= 0)
        return times;
    // An estimate that makes the queue refuse everything gets no new samples, so it decays.
    auto const weight = std::exp2(-stale_ms / to_ms(estimate_half_life));
    auto const initial = to_ms(settings_.initial_first_byte);
    times.first_byte_ms = initial + weight * (times.first_byte_ms - initial);
    times.first_byte_deviation_ms *= weight;
    return times;
}

double admission_queue::kind_times::first_byte_bound_ms() const
{
    return first_byte_ms + first_byte_deviations * first_byte_deviation_ms;
}

double admission_queue::work_ahead_ms(admission_entry const& entry) const
{
    auto const priority = clamp_priority(entry.priority);
    double work = 0;
    for (int other = 0; other < priority; ++other)
    {
        for (auto const& [account, entries] : classes_.at(static_cast<std::size_t>(other)).accounts)
            work += static_cast<double>(entries.size()) * times_of(entries.front().kind).hold_ms;
    }
    // Accounts are served round robin, so each other account has at most one entry more ahead of
    // this request than the request's own account has waiting.
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
    double higher_load = 0;
    for (int other = 0; other < priority; ++other)
        higher_load += classes_.at(static_cast<std::size_t>(other)).offered_load;
    return from_ms(work_ms / std::max(slots - higher_load, slots * min_share));
}

void admission_queue::update_offered_load()
{
    auto const elapsed = clock_() - load_period_start_;
    if (elapsed < load_period)
        return;
    for (auto& queue : classes_)
    {
        queue.offered_load +=
            load_smoothing * (queue.recent_work_ms / to_ms(elapsed) - queue.offered_load);
        queue.recent_work_ms = 0;
    }
    load_period_start_ = clock_();
}

std::size_t admission_queue::waiting(int priority) const
{
    return classes_.at(static_cast<std::size_t>(clamp_priority(priority))).size;
}

} // namespace almondcart
