#include <almondcart/core/hash.hpp>
#include <almondcart/forwarding/upstream_picker.hpp>

#include <algorithm>
#include <iterator>
#include <limits>
#include <utility>

namespace almondcart::forwarding {

namespace {

/// Cost of another availability zone for services without engines, in running requests.
constexpr double zone_penalty_requests = 0.7;

/// Cost of a cold upstream for services without engines, in running requests.
constexpr double cold_penalty_requests = 2;

/// Number of cached parts tracked for one upstream before expired ones are dropped.
constexpr std::size_t part_limit = 2000;

/// Failure share above which an upstream is used only if no better one is available.
constexpr double failing_share = 0.3;

/// Added to the cost of upstreams that are failing or at capacity.
constexpr double last_resort_cost = 1e6;

std::uint64_t mix(std::uint64_t value)
{
    // SplitMix64.
    value += 0x9e3779b97f4a7c15ULL;
    value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27U)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31U);
}

/// Returns the part that determines the preferred upstream: the last one that other requests may
/// share.
std::optional<std::uint64_t> affinity_part(prompt_info const& prompt)
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
    upstream_directory const& directory,
    drained_zones const* drained,
    cold_start_limiter* cold_starts)
    : clock_(std::move(clock))
    , settings_(std::move(settings))
    , directory_(directory)
    , drained_(drained)
    , cold_starts_(cold_starts)
    , random_(settings_.seed)
{}

std::vector<upstream_pointer> upstream_picker::available(pick_request const& request)
{
    auto const now = clock_();
    std::vector<upstream_pointer> result;
    upstream_pointer next_unblocked;
    for (auto const& it : directory_.of_service(request.service))
    {
        if (!is_usable(*it, now) || is_excluded(request, it->entry.id))
            continue;
        auto const& state = state_of(it->entry.id);
        if (state.health.is_available(now))
            result.push_back(it);
        else if (
            !next_unblocked || state.health.blocked_until() <
                                   state_of(next_unblocked->entry.id).health.blocked_until())
            next_unblocked = it;
    }
    // If all candidates are blocked, the one whose block ends first is tried, because the blocks
    // may be outdated.
    if (result.empty() && next_unblocked)
        result.push_back(std::move(next_unblocked));
    return result;
}

upstream_pointer upstream_picker::pick(pick_request const& request)
{
    return cheapest(available(request), request);
}

upstream_pointer upstream_picker::cheapest(
    std::vector<upstream_pointer> const& candidates,
    pick_request const& request)
{
    auto const preferred = request.prompt == nullptr ? upstream_pointer()
                                                     : affinity_target(candidates, *request.prompt);
    upstream_pointer best;
    double best_cost = std::numeric_limits<double>::infinity();
    for (auto const& it : candidates)
    {
        auto const& state = state_of(it->entry.id);
        double value = cost(*it, state, request);
        // A cold engine has lost what other gateways' prompts left in its cache.
        bool const is_cached = it == preferred && !is_cold(*it);
        if (request.prompt != nullptr)
            value += static_cast<double>(uncached_tokens(state, *request.prompt, is_cached));
        constexpr double tie_break = 1e-3;
        constexpr std::uint64_t steps = 1000;
        value += tie_break * static_cast<double>(next_random() % steps) / steps;
        if (value < best_cost)
        {
            best_cost = value;
            best = it;
        }
    }
    return best;
}

std::vector<upstream_pointer>
upstream_picker::shortlist(pick_request const& request, std::size_t limit)
{
    auto rest = available(request);
    std::vector<upstream_pointer> result;
    auto const take = [&](upstream_pointer const& it)
    {
        if (it == nullptr || result.size() >= limit)
            return;
        result.push_back(it);
        std::erase(rest, it);
    };
    if (request.prompt != nullptr)
    {
        take(affinity_target(rest, *request.prompt));
        take(affinity_target(rest, *request.prompt));
    }
    take(cheapest(rest, request));
    auto const is_local = [this](upstream_pointer const& it)
    { return it->entry.availability_zone == settings_.availability_zone; };
    std::vector<upstream_pointer> local;
    std::copy_if(rest.begin(), rest.end(), std::back_inserter(local), is_local);
    while (result.size() < limit && !rest.empty())
    {
        auto const& from = local.empty() ? rest : local;
        auto const it = from[next_random() % from.size()];
        take(it);
        std::erase(local, it);
    }
    return result;
}

std::uint64_t upstream_picker::next_random()
{
    random_ = mix(random_);
    return random_;
}

bool upstream_picker::is_usable(upstream const& candidate, instant now) const
{
    return candidate.accepts_work() && !candidate.is_paused(now) && !is_drained(candidate) &&
           (cold_starts_ == nullptr || cold_starts_->may_send(candidate));
}

bool upstream_picker::is_cold(upstream const& candidate) const
{
    return cold_starts_ != nullptr && cold_starts_->is_cold(candidate);
}

bool upstream_picker::is_drained(upstream const& candidate) const
{
    return drained_ != nullptr && drained_->contains(candidate.entry.availability_zone);
}

bool upstream_picker::is_drained(std::string_view service) const
{
    bool has_drained = false;
    for (auto const& it : directory_.of_service(service))
    {
        if (it->accepts_work() && !is_drained(*it))
            return false;
        has_drained = has_drained || it->accepts_work();
    }
    return has_drained;
}

std::optional<instant> upstream_picker::common_pause_end(std::string_view service) const
{
    auto const now = clock_();
    std::optional<instant> earliest;
    for (auto const& it : directory_.of_service(service))
    {
        if (!it->accepts_work() || is_drained(*it))
            continue;
        if (!it->is_paused(now))
            return std::nullopt;
        auto const end = it->statement.paused_until;
        if (!earliest || end < *earliest)
            earliest = end;
    }
    return earliest;
}

double upstream_picker::cost(
    upstream const& candidate,
    upstream_state const& state,
    pick_request const& request)
{
    double value = state.health.failure_share() > failing_share
                       ? last_resort_cost * state.health.failure_share()
                       : 0;
    bool const is_same_zone = candidate.entry.availability_zone == settings_.availability_zone;
    bool const is_cold_now = is_cold(candidate);
    if (request.prompt == nullptr)
        return value + state.in_flight + (is_same_zone ? 0 : zone_penalty_requests) +
               (is_cold_now ? cold_penalty_requests : 0);
    if (is_cold_now)
        value += static_cast<double>(settings_.cold_penalty_tokens);
    if (state.in_flight >= candidate.entry.slots)
        value += last_resort_cost;
    value += static_cast<double>(state.waiting_tokens);
    value += static_cast<double>(settings_.running_request_tokens * state.in_flight);
    return value + (is_same_zone ? 0.0 : static_cast<double>(settings_.zone_penalty_tokens));
}

std::int64_t upstream_picker::uncached_tokens(
    upstream_state const& state,
    prompt_info const& prompt,
    bool is_preferred) const
{
    auto const now = clock_();
    std::int64_t cached = 0;
    for (std::size_t i = 0; i + 1 < prompt.parts.size(); ++i)
    {
        auto const it = state.cached_parts.find(prompt.parts[i].id);
        bool const is_known =
            it != state.cached_parts.end() && now - it->second <= settings_.cache_ttl;
        if (!is_known && !is_preferred)
            break;
        cached += prompt.parts[i].tokens;
    }
    return std::max<std::int64_t>(0, prompt.input_tokens - cached);
}

upstream_pointer upstream_picker::affinity_target(
    std::vector<upstream_pointer> const& candidates,
    prompt_info const& prompt)
{
    auto const part = affinity_part(prompt);
    if (!part)
        return nullptr;
    upstream_pointer preferred;
    std::uint64_t highest = 0;
    for (auto const& it : candidates)
    {
        auto const weight = mix(*part ^ hash64(it->entry.id));
        if (preferred == nullptr || weight > highest)
        {
            preferred = it;
            highest = weight;
        }
    }
    return preferred;
}

std::unique_ptr<in_flight_guard> upstream_picker::begin(
    upstream_pointer target,
    std::string const& request,
    prompt_info const* prompt)
{
    return std::make_unique<in_flight_guard>(*this, std::move(target), request, prompt);
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
    std::string const& request,
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
    request_ = request;
    if (picker_.hooks_.on_begin)
        picker_.hooks_.on_begin(*target_, request_, *prompt);
}

in_flight_guard::~in_flight_guard()
{
    release_waiting_tokens();
    auto const it = picker_.states_.find(target_->entry.id);
    if (it != picker_.states_.end() && it->second.in_flight > 0)
        --it->second.in_flight;
    if (!request_.empty() && picker_.hooks_.on_end)
        picker_.hooks_.on_end(*target_, request_);
}

void in_flight_guard::set_prompt_read()
{
    if (std::exchange(is_prompt_read_, true))
        return;
    release_waiting_tokens();
    if (!request_.empty() && picker_.hooks_.on_prompt_read)
        picker_.hooks_.on_prompt_read(*target_, request_);
}

void in_flight_guard::release_waiting_tokens()
{
    auto const it = picker_.states_.find(target_->entry.id);
    if (it != picker_.states_.end())
        it->second.waiting_tokens =
            std::max<std::int64_t>(0, it->second.waiting_tokens - waiting_tokens_);
    waiting_tokens_ = 0;
}

} // namespace almondcart::forwarding
