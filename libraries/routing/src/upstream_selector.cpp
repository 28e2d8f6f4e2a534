#include <almondcart/core/hash.hpp>
#include <almondcart/routing/upstream_selector.hpp>

#include <algorithm>
#include <cmath>
#include <utility>

namespace almondcart {

upstream_selector::upstream_selector(
    std::function<bool(std::string const&)> is_usable,
    selector_settings settings)
    : is_usable_(std::move(is_usable))
    , settings_(settings)
{}

void upstream_selector::set_upstreams(std::map<std::string, upstream_traits> const& upstreams)
{
    std::erase_if(upstreams_, [&](auto const& it) { return !upstreams.contains(it.first); });
    for (auto const& [name, traits] : upstreams)
        upstreams_[name].traits = traits;
}

void upstream_selector::set_routers(int routers)
{
    router_count_ = std::max(1, routers);
}

std::uint64_t upstream_selector::affinity_key(std::string_view prompt) const
{
    return hash64(prompt.substr(0, settings_.affinity_bytes));
}

bool upstream_selector::serves(upstream_entry const& entry, selection_request const& request)
{
    auto const& traits = entry.traits;
    bool const has_model =
        request.model.empty() ||
        std::find(traits.models.begin(), traits.models.end(), request.model) != traits.models.end();
    bool const has_role = request.role.empty() || traits.role.empty() || traits.role == "mixed" ||
                          traits.role == request.role;
    return has_model && has_role;
}

std::vector<upstream_selector::candidate> upstream_selector::rank_candidates(
    selection_request const& request,
    std::function<bool(std::string const&)> const& is_eligible) const
{
    std::vector<candidate> found;
    auto const key = affinity_key(request.prompt);
    for (auto const& [name, entry] : upstreams_)
    {
        bool const is_avoided =
            std::find(request.avoid.begin(), request.avoid.end(), name) != request.avoid.end();
        if (!is_avoided && serves(entry, request) && is_eligible(name))
            found.push_back({&name, &entry, hash64(name, key)});
    }
    std::sort(
        found.begin(),
        found.end(),
        [](candidate const& left, candidate const& right) { return left.score > right.score; });
    return found;
}

bool upstream_selector::has_capacity(candidate const& it, double average_load) const
{
    double const slots = std::max(1, it.entry->traits.slots);
    double const own = static_cast<double>(it.entry->dispatched - it.entry->finished);
    if (own + 1 > std::ceil(slots * settings_.router_share_bound / router_count_))
        return false;
    double const bound =
        std::max(slots * settings_.min_fill_share, average_load * settings_.load_bound);
    // An upstream without a free slot queues the request, so the bound never exceeds the slots.
    // `select` falls back to the least loaded upstream if none has capacity.
    return load_of(*it.entry) + 1 <= std::min(slots, std::ceil(bound));
}

std::optional<selection> upstream_selector::select(selection_request const& request) const
{
    auto const candidates = rank_candidates(request, is_usable_);
    if (candidates.empty())
        return std::nullopt;

    int load = 0;
    int slots = 0;
    for (auto const& it : candidates)
    {
        load += load_of(*it.entry);
        slots += std::max(1, it.entry->traits.slots);
    }
    auto const key = affinity_key(request.prompt);
    candidate const* chosen = nullptr;
    std::size_t position = 0;
    for (auto const& it : candidates)
    {
        double const own_slots = std::max(1, it.entry->traits.slots);
        double const average = (load + 1.0) * own_slots / slots;
        if (has_capacity(it, average))
        {
            bool const is_hinted =
                position < settings_.hint_candidate_count && it.entry->prefixes.contains(key);
            if (is_hinted || chosen == nullptr)
                chosen = &it;
            if (is_hinted)
                break;
        }
        ++position;
    }
    if (chosen == nullptr)
    {
        chosen = &*std::min_element(
            candidates.begin(),
            candidates.end(),
            [this](auto const& left, auto const& right)
            {
                auto const relative_load = [this](candidate const& it)
                {
                    auto const own = it.entry->dispatched - it.entry->finished;
                    auto const load = std::max<double>(
                        load_of(*it.entry), static_cast<double>(own) * router_count_);
                    return load / std::max(1, it.entry->traits.slots);
                };
                return relative_load(left) < relative_load(right);
            });
    }
    return selection{*chosen->name, key, chosen == &candidates.front()};
}

std::optional<std::string> upstream_selector::find_home(
    std::string_view prompt,
    std::string const& model,
    std::function<bool(std::string const&)> const& is_reachable) const
{
    selection_request request;
    request.prompt = prompt;
    request.model = model;
    auto const candidates = rank_candidates(request, is_reachable);
    if (candidates.empty())
        return std::nullopt;
    return *candidates.front().name;
}

std::uint64_t upstream_selector::dispatched(std::string const& upstream)
{
    auto const it = upstreams_.find(upstream);
    if (it == upstreams_.end())
        return 0;
    ++it->second.dispatched;
    return it->second.epoch;
}

void upstream_selector::finished(std::string const& upstream, std::uint64_t epoch)
{
    auto const it = upstreams_.find(upstream);
    if (it == upstreams_.end() || it->second.epoch != epoch)
        return;
    it->second.finished = std::min(it->second.finished + 1, it->second.dispatched);
}

void upstream_selector::apply(std::string const& upstream, load_report const& report)
{
    auto const it = upstreams_.find(upstream);
    if (it == upstreams_.end())
        return;
    it->second.report = report;
    it->second.finished_at_report = it->second.finished;
}

void upstream_selector::apply(std::string const& upstream, cache_event const& event)
{
    auto const it = upstreams_.find(upstream);
    if (it == upstreams_.end() || event.sequence <= it->second.last_event)
        return;
    auto& entry = it->second;
    bool const has_gap = event.sequence != entry.last_event + 1;
    entry.last_event = event.sequence;
    // A lost event may have been an eviction, so older hints may name prefixes that are not cached.
    if (has_gap || event.kind == cache_event_kind::cleared ||
        entry.prefixes.size() >= settings_.max_hints_per_upstream)
        entry.prefixes.clear();
    if (event.kind == cache_event_kind::stored)
        entry.prefixes.insert(event.prefix);
    if (event.kind == cache_event_kind::evicted)
        entry.prefixes.erase(event.prefix);
}

void upstream_selector::restarted(std::string const& upstream)
{
    auto const it = upstreams_.find(upstream);
    if (it == upstreams_.end())
        return;
    upstream_entry reset;
    reset.traits = it->second.traits;
    reset.epoch = it->second.epoch + 1;
    it->second = std::move(reset);
}

int upstream_selector::load_of(upstream_entry const& entry)
{
    auto const own = static_cast<std::int64_t>(entry.dispatched - entry.finished);
    auto const received = std::min(entry.report.received, entry.dispatched);
    auto const not_received = static_cast<std::int64_t>(entry.dispatched - received);
    auto const ended = static_cast<std::int64_t>(entry.finished - entry.finished_at_report);
    auto const reported = static_cast<std::int64_t>(entry.report.running) + entry.report.queued;
    return static_cast<int>(std::max(own, reported + not_received - ended));
}

int upstream_selector::load_of(std::string const& upstream) const
{
    auto const it = upstreams_.find(upstream);
    return it == upstreams_.end() ? 0 : load_of(it->second);
}

std::uint64_t upstream_selector::dispatched_count(std::string const& upstream) const
{
    auto const it = upstreams_.find(upstream);
    return it == upstreams_.end() ? 0 : it->second.dispatched;
}

int upstream_selector::in_flight(std::string const& upstream) const
{
    auto const it = upstreams_.find(upstream);
    if (it == upstreams_.end())
        return 0;
    return static_cast<int>(it->second.dispatched - it->second.finished);
}

bool upstream_selector::is_hinted(std::string const& upstream, std::uint64_t affinity_key) const
{
    auto const it = upstreams_.find(upstream);
    return it != upstreams_.end() && it->second.prefixes.contains(affinity_key);
}

int upstream_selector::usable_slots() const
{
    int slots = 0;
    for (auto const& [name, entry] : upstreams_)
    {
        if (is_usable_(name))
            slots += entry.traits.slots;
    }
    return slots;
}

int upstream_selector::concurrency_limit() const
{
    int free = 0;
    int own = 0;
    for (auto const& [name, entry] : upstreams_)
    {
        if (!is_usable_(name))
            continue;
        free += std::max(0, entry.traits.slots - load_of(entry));
        own += in_flight(name);
    }
    // Every router sees the same free slots, so each takes an equal part of them.
    return std::max(usable_slots() / router_count_, own + free / router_count_);
}

} // namespace almondcart
