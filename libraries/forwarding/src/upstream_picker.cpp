#include <almondcart/core/hash.hpp>
#include <almondcart/forwarding/upstream_picker.hpp>

#include <algorithm>
#include <limits>
#include <utility>

namespace almondcart::forwarding {

namespace {

/// Load of a plain request, in requests, that a call to another availability zone is worth.
constexpr double zone_requests = 0.7;

/// Cached parts remembered for one upstream before old ones are dropped.
constexpr std::size_t part_limit = 2000;

/// Failure share from which on an upstream is taken only if the others are no better.
constexpr double suspicious_share = 0.3;
constexpr double suspicious_cost = 1e6;

std::uint64_t mix(std::uint64_t value)
{
    // SplitMix64 finalizer.
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// Part whose sharers should meet: the last one that is not the request's own.
std::optional<std::uint64_t> meeting_part(prompt_info const& prompt)
{
    if (prompt.parts.size() < 2)
        return std::nullopt;
    return prompt.parts[prompt.parts.size() - 2].id;
}

bool is_excluded(pick_request const& request, std::string const& id)
{
    return request.excluded != nullptr &&
           std::find(request.excluded->begin(), request.excluded->end(), id) !=
               request.excluded->end();
}

} // namespace

upstream_picker::upstream_picker(
    clock_function clock,
    upstream_picker_settings settings,
    upstream_directory const& directory)
    : clock_(std::move(clock))
    , settings_(std::move(settings))
    , directory_(directory)
    , random_(settings_.seed)
{}

upstream_pointer upstream_picker::pick(pick_request const& request)
{
    auto const now = clock_();
    std::vector<upstream_pointer> candidates;
    upstream_pointer soonest;
    for (auto const& it : directory_.of_service(request.service))
    {
        if (!it->accepts_work() || is_excluded(request, it->entry.id))
            continue;
        auto const& state = state_of(it->entry.id);
        if (state.health.is_available(now))
            candidates.push_back(it);
        else if (
            !soonest ||
            state.health.blocked_until() < state_of(soonest->entry.id).health.blocked_until())
            soonest = it;
    }
    // If all seem to be down, the judgement may be wrong, so one of them gets a chance.
    if (candidates.empty())
        return soonest;
    auto const home =
        request.prompt == nullptr ? upstream_pointer() : home_of(candidates, *request.prompt);
    upstream_pointer best;
    double best_cost = std::numeric_limits<double>::infinity();
    for (auto const& it : candidates)
    {
        auto const& state = state_of(it->entry.id);
        double value = cost(*it, state, request);
        if (request.prompt != nullptr)
            value += static_cast<double>(uncached_tokens(state, *request.prompt, it == home));
        random_ = mix(random_);
        constexpr double tie_break = 1e-3;
        value += tie_break * static_cast<double>(random_ % 1000) / 1000;
        if (value < best_cost)
        {
            best_cost = value;
            best = it;
        }
    }
    return best;
}

double upstream_picker::cost(
    upstream const& candidate,
    upstream_state const& state,
    pick_request const& request)
{
    double value = state.health.failure_share() > suspicious_share
                       ? suspicious_cost * state.health.failure_share()
                       : 0;
    bool const is_near = candidate.entry.availability_zone == settings_.availability_zone;
    if (request.prompt == nullptr)
        return value + state.in_flight + (is_near ? 0 : zone_requests);
    if (state.in_flight >= candidate.entry.slots)
        value += suspicious_cost;
    value += static_cast<double>(state.waiting_tokens);
    value += static_cast<double>(settings_.running_request_tokens * state.in_flight);
    return value + (is_near ? 0.0 : static_cast<double>(settings_.zone_penalty_tokens));
}

std::int64_t upstream_picker::uncached_tokens(
    upstream_state const& state,
    prompt_info const& prompt,
    bool is_home) const
{
    auto const now = clock_();
    std::int64_t cached = 0;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
    {
        auto const it = state.cached_parts.find(prompt.parts[i].id);
        bool const is_known =
            it != state.cached_parts.end() && now - it->second <= settings_.cache_ttl;
        if (!is_known && !is_home)
            break;
        cached += prompt.parts[i].tokens;
    }
    return std::max<std::int64_t>(0, prompt.input_tokens - cached);
}

upstream_pointer
upstream_picker::home_of(std::vector<upstream_pointer> const& candidates, prompt_info const& prompt)
{
    auto const part = meeting_part(prompt);
    if (!part)
        return nullptr;
    upstream_pointer home;
    std::uint64_t highest = 0;
    for (auto const& it : candidates)
    {
        auto const weight = mix(*part ^ hash64(it->entry.id));
        if (home == nullptr || weight > highest)
        {
            home = it;
            highest = weight;
        }
    }
    return home;
}

std::unique_ptr<in_flight_guard>
upstream_picker::begin(upstream_pointer target, prompt_info const* prompt)
{
    return std::make_unique<in_flight_guard>(*this, std::move(target), prompt);
}

void upstream_picker::record(upstream const& target, attempt_result result)
{
    state_of(target.entry.id).health.record(result, clock_());
}

void upstream_picker::remember_parts(upstream_state& state, prompt_info const& prompt)
{
    auto const now = clock_();
    if (state.cached_parts.size() > part_limit)
        std::erase_if(
            state.cached_parts,
            [&](auto const& it) { return now - it.second > settings_.cache_ttl; });
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
        state.cached_parts[prompt.parts[i].id] = now;
}

in_flight_guard::in_flight_guard(
    upstream_picker& picker,
    upstream_pointer target,
    prompt_info const* prompt)
    : picker_(picker)
    , target_(std::move(target))
{
    auto& state = picker_.state_of(target_->entry.id);
    ++state.in_flight;
    if (prompt == nullptr)
        return;
    waiting_tokens_ = picker_.uncached_tokens(state, *prompt, false);
    state.waiting_tokens += waiting_tokens_;
    picker_.remember_parts(state, *prompt);
}

in_flight_guard::~in_flight_guard()
{
    set_prompt_read();
    auto const it = picker_.states_.find(target_->entry.id);
    if (it != picker_.states_.end() && it->second.in_flight > 0)
        --it->second.in_flight;
}

void in_flight_guard::set_prompt_read()
{
    auto const it = picker_.states_.find(target_->entry.id);
    if (it != picker_.states_.end())
        it->second.waiting_tokens =
            std::max<std::int64_t>(0, it->second.waiting_tokens - waiting_tokens_);
    waiting_tokens_ = 0;
}

} // namespace almondcart::forwarding
