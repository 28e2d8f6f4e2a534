#include <almondcart/http/connection_limiter.hpp>

#include <spdlog/spdlog.h>
#include <sys/resource.h>

#include <algorithm>
#include <utility>

namespace almondcart {

namespace {

/// Share of a process's memory that clients may hold. The rest is for the program itself, what it
/// holds for its own calls, and what freed buffers leave in the heap.
constexpr double memory_share = 0.25;
constexpr double bytes_per_megabyte = 1e6;

/// Limit of a process that does not know its memory. The programs of a fleet run on machines with
/// several hundred MB or set their memory.
constexpr std::size_t bytes_if_unknown = std::size_t{64} * 1024 * 1024;

/// Descriptors kept for files, and at most a quarter of all.
constexpr std::size_t reserved_descriptors = 200;

/// Half of the other descriptors is kept for the process's own calls.
constexpr std::size_t descriptor_share_divisor = 2;

/// Silence of a client within a request or response after which it is closed. It is above the idle
/// time of 15 s that clients are allowed.
constexpr duration stall_timeout{20'000};

/// A client that took part of its response within this time is not closed for what it holds.
constexpr duration answer_grace{1'000};

constexpr duration log_interval{10'000};

std::size_t descriptor_limit()
{
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY)
        return connection_limits().connections;
    return limit.rlim_cur;
}

} // namespace

connection_limits connection_limits::derive(double memory_mb, std::int64_t max_descriptors)
{
    connection_limits limits;
    limits.bytes = memory_mb > 0
                       ? static_cast<std::size_t>(memory_mb * bytes_per_megabyte * memory_share)
                       : bytes_if_unknown;
    auto const descriptors =
        max_descriptors > 0 ? static_cast<std::size_t>(max_descriptors) : descriptor_limit();
    auto const reserved = std::min(reserved_descriptors, descriptors / 4);
    limits.connections = std::clamp<std::size_t>(
        (descriptors - reserved) / descriptor_share_divisor,
        1,
        limits.bytes / (limited_connection::fixed_bytes + limited_connection::guaranteed_bytes) +
            1);
    return limits;
}

std::string_view name_of(connection_limit limit)
{
    static constexpr std::array<std::string_view, connection_limit_count> names{
        "connections", "bytes", "address_bytes", "handled_bytes", "progress"};
    return names.at(static_cast<std::size_t>(limit));
}

connection_limiter::connection_limiter(connection_limits limits, clock_function now)
    : limits_(limits)
    , now_(std::move(now))
{}

bool connection_limiter::allows_handling(std::size_t bytes) const
{
    return handled_bytes_ == 0 || handled_bytes_ + bytes <= limits_.handled_bytes();
}

void connection_limiter::enforce(limited_connection const& cause)
{
    // Copied, because `cause` may be closed and destroyed.
    // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
    auto const address = cause.address();
    auto const limited = [this, &address]
    {
        auto const it = address_bytes_.find(address);
        return it != address_bytes_.end() && it->second > limits_.address_bytes();
    };
    close_until(connection_limit::address_bytes, &address, limited);
    close_until(connection_limit::bytes, nullptr, [this] { return used_bytes_ > limits_.bytes; });
    close_until(
        connection_limit::connections,
        nullptr,
        [this] { return connections_.size() - closing_count_ > limits_.connections; });
}

void connection_limiter::close_until(
    connection_limit limit,
    std::string const* address,
    std::function<bool()> const& is_exceeded)
{
    while (is_exceeded())
    {
        auto* const victim = find_victim(address, limit != connection_limit::connections);
        if (victim == nullptr)
            return;
        victim->take(0, 0);
        victim->is_closing_ = true;
        ++closing_count_;
        auto const victim_address = victim->address_;
        auto const close = victim->close_;
        close(limit);
        report(limit, victim_address);
    }
}

limited_connection*
connection_limiter::find_victim(std::string const* address, bool is_for_bytes) const
{
    auto const now = now_();
    limited_connection* victim = nullptr;
    double highest = 0;
    std::size_t active = 0;
    for (auto* const it : connections_)
    {
        if (it->is_closing_)
            continue;
        active += it->phase_ == connection_phase::idle ? 0 : 1;
        bool const is_taking =
            it->phase_ == connection_phase::answering && now - it->progress_ < answer_grace;
        if (it->phase_ == connection_phase::handling || is_taking)
            continue;
        if (is_for_bytes && it->bytes_ <= limited_connection::guaranteed_bytes)
            continue;
        if (address != nullptr && it->address_ != *address)
            continue;
        auto const age = static_cast<double>((now - it->since_).count()) + 1;
        auto const score = age * static_cast<double>(it->held_bytes());
        if (victim != nullptr && score <= highest)
            continue;
        victim = it;
        highest = score;
    }
    // A single request inside the limits of the server is served, however small the account is.
    bool const is_single =
        victim != nullptr && victim->phase_ != connection_phase::idle && active == 1;
    return is_single && is_for_bytes ? nullptr : victim;
}

void connection_limiter::report(connection_limit limit, std::string const& address)
{
    if (hooks_.on_limited != nullptr)
        hooks_.on_limited(limit, address);
    auto& count = unlogged_.at(static_cast<std::size_t>(limit));
    ++count;
    auto const now = now_();
    if (now < next_log_)
        return;
    next_log_ = now + log_interval;
    spdlog::warn(
        "[http] clients limited limit={} address={} count={} connections={} bytes={}",
        name_of(limit),
        address,
        std::exchange(count, 0),
        connections_.size(),
        used_bytes_);
}

limited_connection::limited_connection(
    std::shared_ptr<connection_limiter> limiter,
    std::string address,
    close_hook close)
    : limiter_(std::move(limiter))
    , address_(std::move(address))
    , close_(std::move(close))
    , since_(limiter_->now_())
    , progress_(since_)
{
    limiter_->connections_.insert(this);
    take(fixed_bytes, 0);
}

limited_connection::~limited_connection()
{
    take(0, 0);
    limiter_->closing_count_ -= is_closing_ ? 1 : 0;
    limiter_->connections_.erase(this);
}

bool limited_connection::is_handled() const
{
    return phase_ == connection_phase::handling;
}

void limited_connection::update(connection_phase phase, std::size_t bytes)
{
    if (is_closing_)
        return;
    take(fixed_bytes, 0);
    if (std::exchange(phase_, phase) != phase)
        since_ = progress_ = limiter_->now_();
    take(fixed_bytes, bytes);
}

void limited_connection::take(std::size_t fixed_bytes, std::size_t bytes)
{
    auto const before = held_bytes();
    if (is_handled())
        limiter_->handled_bytes_ += bytes - bytes_;
    fixed_bytes_ = fixed_bytes;
    bytes_ = bytes;
    if (held_bytes() == before)
        return;
    limiter_->used_bytes_ += held_bytes() - before;
    auto const it = limiter_->address_bytes_.try_emplace(address_, 0).first;
    it->second += held_bytes() - before;
    if (it->second == 0)
        limiter_->address_bytes_.erase(it);
}

void limited_connection::note_progress()
{
    progress_ = limiter_->now_();
    if (phase_ == connection_phase::answering)
        since_ = progress_;
}

bool limited_connection::is_stalled() const
{
    bool const is_waited_for =
        phase_ == connection_phase::reading || phase_ == connection_phase::answering;
    return is_waited_for && !is_closing_ && limiter_->now_() - progress_ > stall_timeout;
}

} // namespace almondcart
