#include <almondcart/forwarding/log_path_selector.hpp>

#include <algorithm>
#include <array>
#include <utility>

namespace almondcart::forwarding {

namespace {

/// The silence limit is this multiple of the usual answer time, so that a slow log does not get
/// each call several times.
constexpr int answer_time_factor = 4;

/// Direct calls turned away in a row before this process counts as shut out. A log that gets twice
/// as many calls as it takes does this to fewer than 1 in 100 such sequences.
constexpr int shut_out_count = 8;

} // namespace

std::string_view name_of(log_path_result result)
{
    static constexpr std::array<std::string_view, 5> names{
        "answered", "overloaded", "refused", "lost", "unreachable"};
    return names.at(static_cast<std::size_t>(result));
}

log_path_selector::log_path_selector(log_path_settings settings, hooks hooks)
    : settings_(std::move(settings))
    , hooks_(std::move(hooks))
    , random_(settings_.seed)
{}

void log_path_selector::set_relays(std::set<log_relay> const& relays)
{
    std::map<std::string, relay_state> updated;
    for (auto const& it : relays)
    {
        auto const known = relays_.find(it.address);
        auto& state = updated[it.address];
        if (known != relays_.end())
            state = known->second;
        state.is_near = it.availability_zone == settings_.availability_zone;
    }
    relays_ = std::move(updated);
}

log_path log_path_selector::choose()
{
    if (is_direct_up_)
        return {};
    return choose_relay({}).value_or(log_path{});
}

std::optional<log_path> log_path_selector::choose_relay(std::set<std::string> const& tried)
{
    auto const now = hooks_.clock();
    if (now < futile_until_)
        return std::nullopt;
    auto const is_usable = [&](std::string const& address, relay_state const& state)
    { return now >= state.blocked_until && !tried.contains(address); };
    if (auto const it = relays_.find(current_relay_);
        it != relays_.end() && is_usable(it->first, it->second))
        return log_path{it->first};
    std::vector<std::string const*> near;
    std::vector<std::string const*> far;
    for (auto const& [address, state] : relays_)
    {
        if (is_usable(address, state))
            (state.is_near ? near : far).push_back(&address);
    }
    auto const& candidates = near.empty() ? far : near;
    if (candidates.empty())
        return std::nullopt;
    auto const& chosen = *candidates[random_.next() % candidates.size()];
    if (tried.empty())
        current_relay_ = chosen;
    return log_path{chosen};
}

bool log_path_selector::try_begin_probe()
{
    auto const now = hooks_.clock();
    if (is_direct_up_ || now < next_probe_)
        return false;
    next_probe_ = now + settings_.probe_interval;
    return true;
}

duration log_path_selector::silence_limit() const
{
    return std::max(settings_.min_silence_limit, answer_time_ * answer_time_factor);
}

void log_path_selector::record(log_path const& path, log_path_result result, duration time)
{
    bool const is_reached =
        result == log_path_result::answered || result == log_path_result::overloaded;
    if (path.is_direct())
    {
        if (is_reached)
            record_direct(result, time);
        return;
    }
    auto const it = relays_.find(path.relay);
    if (it == relays_.end())
        return;
    if (is_reached)
    {
        futile_until_ = {};
        current_relay_ = path.relay;
        return;
    }
    it->second.blocked_until = hooks_.clock() + settings_.relay_backoff;
}

void log_path_selector::record_direct(log_path_result result, duration time)
{
    // A call that is turned away is answered sooner than others and says nothing about the usual
    // answer time.
    if (result == log_path_result::answered)
    {
        answer_time_ = (answer_time_ + time) / 2;
        overload_count_ = 0;
    }
    else if (overload_count_++ == 0)
        overloaded_since_ = hooks_.clock();
    if (!is_shut_out())
        set_direct_up(true, name_of(result));
}

bool log_path_selector::is_shut_out() const
{
    return overload_count_ >= shut_out_count &&
           hooks_.clock() - overloaded_since_ >= settings_.shut_out_time;
}

void log_path_selector::record_bypass(log_path_result direct)
{
    set_direct_up(false, name_of(direct));
}

void log_path_selector::record_futile()
{
    // The log itself is away. What blocks the relays may end with it.
    futile_until_ = hooks_.clock() + settings_.futile_backoff;
    for (auto& [address, state] : relays_)
        state.blocked_until = std::min(state.blocked_until, futile_until_);
}

void log_path_selector::set_direct_up(bool is_up, std::string_view evidence)
{
    if (std::exchange(is_direct_up_, is_up) == is_up)
        return;
    // The first probe follows at once: only a connection may have failed, not the path.
    next_probe_ = hooks_.clock();
    if (hooks_.on_change)
        hooks_.on_change(is_up, evidence);
}

} // namespace almondcart::forwarding
