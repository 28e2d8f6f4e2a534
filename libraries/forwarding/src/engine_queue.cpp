#include <almondcart/forwarding/engine_queue.hpp>

#include <algorithm>
#include <utility>

namespace almondcart::forwarding {

namespace {

/// Time for which a prompt part is assumed to stay in the engine's cache after its use.
constexpr duration cache_ttl{8'000};

/// Number of cached parts tracked before expired ones are dropped.
constexpr std::size_t part_limit = 4'000;

/// Age at which a request is dropped whose end was never announced, because its gateway died or the
/// datagram was lost. Most streams end well before.
constexpr duration request_ttl{20'000};

/// A prompt that waits longer than this has been refused or lost.
constexpr duration waiting_ttl{5'000};

constexpr duration expiry_interval{500};

/// Requests tracked at once, far above the slots of an engine. Datagrams may come from anyone on
/// the platform's network.
constexpr std::size_t request_limit = 10'000;

/// Speed assumed until enough has been read.
constexpr double initial_tokens_per_ms = 40;

/// Tokens read in one busy period that count as much as all earlier periods.
constexpr double speed_weight_tokens = 20'000;

/// Busy periods with fewer tokens say more about latency than about speed.
constexpr double min_sample_tokens = 3'000;

} // namespace

engine_queue::engine_queue(clock_function clock)
    : clock_(std::move(clock))
    , tokens_per_ms_(initial_tokens_per_ms)
{}

engine_load engine_queue::load_for(prompt_info const& prompt)
{
    expire();
    return {
        .waiting_tokens = waiting_tokens_,
        .cached_tokens = cached_tokens(prompt),
        .running = static_cast<int>(requests_.size()) - waiting_,
        .tokens_per_ms = tokens_per_ms_};
}

void engine_queue::announce(std::string const& request, prompt_info const& prompt)
{
    expire();
    record_end(request);
    if (requests_.size() >= request_limit)
        return;
    auto const now = clock_();
    auto const tokens = std::max<std::int64_t>(1, prompt.input_tokens - cached_tokens(prompt));
    if (waiting_ == 0)
    {
        busy_since_ = now;
        read_tokens_ = 0;
    }
    requests_.emplace(request, entry{tokens, now});
    waiting_tokens_ += tokens;
    ++waiting_;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
        cached_parts_[prompt.parts[i].id] = now;
    if (cached_parts_.size() > part_limit)
        std::erase_if(cached_parts_, [&](auto const& it) { return now - it.second > cache_ttl; });
}

void engine_queue::record_prompt_read(std::string const& request)
{
    auto const it = requests_.find(request);
    if (it == requests_.end() || it->second.waiting_tokens == 0)
        return;
    read_tokens_ += static_cast<double>(it->second.waiting_tokens);
    update_speed();
    remove_waiting(it->second);
}

void engine_queue::record_end(std::string const& request)
{
    auto const it = requests_.find(request);
    if (it == requests_.end())
        return;
    remove_waiting(it->second);
    requests_.erase(it);
}

std::int64_t engine_queue::cached_tokens(prompt_info const& prompt) const
{
    auto const now = clock_();
    std::int64_t result = 0;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
    {
        auto const it = cached_parts_.find(prompt.parts[i].id);
        if (it == cached_parts_.end() || now - it->second > cache_ttl)
            break;
        result += prompt.parts[i].tokens;
    }
    return std::min(result, prompt.input_tokens);
}

void engine_queue::update_speed()
{
    auto const busy_ms = static_cast<double>((clock_() - busy_since_).count());
    if (read_tokens_ < min_sample_tokens || busy_ms <= 0)
        return;
    double const weight = read_tokens_ / (read_tokens_ + speed_weight_tokens);
    tokens_per_ms_ += weight * (read_tokens_ / busy_ms - tokens_per_ms_);
    busy_since_ = clock_();
    read_tokens_ = 0;
}

void engine_queue::remove_waiting(entry& it)
{
    if (it.waiting_tokens == 0)
        return;
    waiting_tokens_ -= std::exchange(it.waiting_tokens, 0);
    --waiting_;
}

void engine_queue::expire()
{
    auto const now = clock_();
    if (now - expired_at_ < expiry_interval)
        return;
    expired_at_ = now;
    for (auto it = requests_.begin(); it != requests_.end();)
    {
        auto const age = now - it->second.announced;
        bool const is_waiting = it->second.waiting_tokens > 0;
        if (age <= (is_waiting ? waiting_ttl : request_ttl))
        {
            ++it;
            continue;
        }
        remove_waiting(it->second);
        it = requests_.erase(it);
    }
}

} // namespace almondcart::forwarding
