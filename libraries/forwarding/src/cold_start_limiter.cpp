#include <almondcart/forwarding/cold_start_limiter.hpp>

#include <algorithm>
#include <utility>

namespace almondcart::forwarding {

namespace {

constexpr duration window{1000};

/// Entries arrive up to 0.8 s late, so that one received earlier than this after a loss may have
/// been written before it.
constexpr duration loss_entry_delay{1000};

/// The upstream may see the end of a drain later than this gateway, and writes an entry each 1.2 s.
constexpr duration drain_entry_delay{2500};

} // namespace

send_permit::send_permit(cold_start_limiter& limiter, upstream_pointer target)
    : limiter_(&limiter)
    , target_(std::move(target))
{
    ++limiter_->states_[target_->entry.id].in_progress;
}

send_permit::send_permit(send_permit&& other) noexcept
    : limiter_(std::exchange(other.limiter_, nullptr))
    , target_(std::move(other.target_))
    , sent_at_(std::exchange(other.sent_at_, std::nullopt))
{}

send_permit& send_permit::operator=(send_permit&& other) noexcept
{
    if (this == &other)
        return *this;
    release();
    limiter_ = std::exchange(other.limiter_, nullptr);
    target_ = std::move(other.target_);
    sent_at_ = std::exchange(other.sent_at_, std::nullopt);
    return *this;
}

send_permit::~send_permit()
{
    release();
}

bool send_permit::confirm()
{
    if (limiter_ == nullptr || sent_at_)
        return true;
    auto& state = limiter_->states_[target_->entry.id];
    // Other sends in progress have permits of their own and are checked when they are sent.
    if (!limiter_->has_room(*target_, 0))
    {
        ++limiter_->kept_away_count_;
        return false;
    }
    --state.in_progress;
    sent_at_ = limiter_->hooks_.clock();
    state.sent.push_back(*sent_at_);
    return true;
}

void send_permit::give_back()
{
    if (limiter_ == nullptr || !sent_at_)
        return;
    auto& sent = limiter_->states_[target_->entry.id].sent;
    if (auto const it = std::ranges::find(sent, *sent_at_); it != sent.end())
        sent.erase(it);
    limiter_ = nullptr;
}

void send_permit::release()
{
    if (limiter_ != nullptr && !sent_at_)
        --limiter_->states_[target_->entry.id].in_progress;
    limiter_ = nullptr;
}

cold_start_limiter::cold_start_limiter(hooks hooks, gateway_registry const& gateways)
    : hooks_(std::move(hooks))
    , gateways_(gateways)
{}

bool cold_start_limiter::holds(
    std::optional<suspicion> const& it,
    upstream const& target,
    instant now) const
{
    if (!it || now >= it->end)
        return false;
    bool const is_refutable = target.entry_received && *target.entry_received >= it->refutable_from;
    bool const is_statement = target.entry.cold_left.has_value() || !it->needs_statement;
    bool const says_warm = target.entry.cold_left.value_or(duration(0)) <= duration(0);
    return !(is_refutable && is_statement && says_warm);
}

bool cold_start_limiter::is_cold(upstream const& target) const
{
    auto const now = hooks_.clock();
    if (now < target.cold_until)
        return true;
    auto const it = states_.find(target.entry.id);
    return it != states_.end() &&
           (holds(it->second.lost, target, now) || holds(it->second.drained, target, now));
}

std::int64_t cold_start_limiter::sent_count(upstream_state& state) const
{
    auto const now = hooks_.clock();
    while (!state.sent.empty() && now - state.sent.front() >= window)
        state.sent.pop_front();
    return static_cast<std::int64_t>(state.sent.size());
}

std::int64_t
cold_start_limiter::share_of(upstream_state& state, std::string const& id, std::int64_t per_second)
{
    if (!gateways_.is_complete())
        return 0;
    if (state.share_version != gateways_.version() || state.share_limit != per_second)
    {
        state.share = gateways_.share_of(id, per_second);
        state.share_version = gateways_.version();
        state.share_limit = per_second;
    }
    return state.share;
}

bool cold_start_limiter::has_room(upstream const& target, std::int64_t in_progress)
{
    auto const per_second = hooks_.limits_of(target.entry.service).per_second;
    if (per_second == 0 || !is_cold(target))
        return true;
    auto& state = states_[target.entry.id];
    return sent_count(state) + in_progress < share_of(state, target.entry.id, per_second);
}

bool cold_start_limiter::may_send(upstream const& target)
{
    auto const it = states_.find(target.entry.id);
    if (has_room(target, it == states_.end() ? 0 : it->second.in_progress))
        return true;
    ++kept_away_count_;
    return false;
}

std::optional<send_permit> cold_start_limiter::try_reserve(upstream_pointer const& target)
{
    if (hooks_.limits_of(target->entry.service).per_second == 0)
        return send_permit();
    if (!may_send(*target))
        return std::nullopt;
    // Sends to a warm upstream count too, because it may turn cold within the same second.
    sent_count(states_[target->entry.id]);
    return send_permit(*this, target);
}

void cold_start_limiter::record_loss(upstream const& target)
{
    auto const limits = hooks_.limits_of(target.entry.service);
    if (limits.per_second == 0)
        return;
    auto const now = hooks_.clock();
    states_[target.entry.id].lost =
        suspicion{now + limits.cold_time, now + loss_entry_delay, false};
}

void cold_start_limiter::record_drain_end(upstream const& target)
{
    auto const limits = hooks_.limits_of(target.entry.service);
    if (limits.per_second == 0)
        return;
    auto const now = hooks_.clock();
    states_[target.entry.id].drained =
        suspicion{now + limits.cold_time, now + drain_entry_delay, true};
}

void cold_start_limiter::tick(upstream_directory const& directory)
{
    cold_count_ = 0;
    for (auto const& [id, it] : directory.all())
    {
        bool const is_now = is_cold(*it);
        cold_count_ += is_now ? 1 : 0;
        auto const state = states_.find(id);
        if (is_now == (state != states_.end() && state->second.was_cold))
            continue;
        states_[id].was_cold = is_now;
        if (hooks_.on_change)
            hooks_.on_change(*it, is_now);
    }
    expire(directory);
}

void cold_start_limiter::expire(upstream_directory const& directory)
{
    auto const now = hooks_.clock();
    auto const is_over = [now](std::optional<suspicion> const& it)
    { return !it || now >= it->end; };
    std::erase_if(
        states_,
        [&](auto const& it)
        {
            auto const& state = it.second;
            bool const is_listed = directory.all().contains(it.first);
            return is_over(state.lost) && is_over(state.drained) && state.in_progress == 0 &&
                   !(state.was_cold && is_listed) &&
                   (state.sent.empty() || now - state.sent.back() >= window);
        });
}

} // namespace almondcart::forwarding
