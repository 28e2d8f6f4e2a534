#include <almondcart/routing/crash_suspects.hpp>

#include <algorithm>
#include <utility>

namespace almondcart {

crash_suspects::crash_suspects(
    clock_function clock,
    crash_suspects_hooks hooks,
    crash_suspects_settings settings)
    : clock_(std::move(clock))
    , hooks_(std::move(hooks))
    , settings_(settings)
{}

void crash_suspects::apply(upstream_crash const& crash)
{
    auto& entry = find_or_create(crash.crash);
    if (entry.is_reported)
        return;
    entry.crash = crash;
    entry.is_reported = true;

    auto const& requests = crash.requests;
    bool const has_known_suspect = std::any_of(
        requests.begin(), requests.end(), [](auto const& it) { return it.ran_as_suspect; });
    std::set<std::string> identified;
    for (auto const& it : requests)
    {
        if (entry.cleared.contains(it.fingerprint) || (has_known_suspect && !it.ran_as_suspect))
            continue;
        auto& suspect = suspects_[it.fingerprint];
        suspect.crashes[crash.crash] = crash.upstream;
        if (it.ran_as_suspect || suspect.crashes.size() >= 2)
            identified.insert(it.fingerprint);
    }
    for (auto const& fingerprint : identified)
        identify(fingerprint);
}

crash_suspects::crash_entry& crash_suspects::find_or_create(std::string const& crash)
{
    auto const it = crashes_.find(crash);
    if (it != crashes_.end())
        return it->second;
    if (crashes_.size() >= settings_.capacity)
    {
        auto const oldest = std::min_element(
            crashes_.begin(),
            crashes_.end(),
            [](auto const& left, auto const& right)
            { return left.second.first_seen.since_epoch < right.second.first_seen.since_epoch; });
        forget(std::string(oldest->first));
    }
    auto& entry = crashes_[crash];
    entry.first_seen = clock_();
    return entry;
}

void crash_suspects::add(std::string const& fingerprint, crash_set const& crashes)
{
    for (auto const& [id, upstream] : crashes)
    {
        if (!find_or_create(id).cleared.contains(fingerprint))
            suspects_[fingerprint].crashes[id] = upstream;
    }
    // The hook is not called here: the records for `config` need the crash reports, which arrive
    // with the agents' heartbeats.
    if (crashes_of(fingerprint).size() >= 2)
        blocked_.insert(fingerprint);
}

void crash_suspects::identify(std::string const& fingerprint)
{
    blocked_.insert(fingerprint);
    if (!notified_.insert(fingerprint).second)
        return;
    std::vector<crash_record> records;
    for (auto const& [id, upstream] : suspects_[fingerprint].crashes)
    {
        auto const& crash = crashes_[id].crash;
        auto const it = std::find_if(
            crash.requests.begin(),
            crash.requests.end(),
            [&](auto const& request) { return request.fingerprint == fingerprint; });
        if (it != crash.requests.end())
            records.push_back({id, fingerprint, upstream, crash.agent, it->request});
    }
    if (hooks_.identified)
        hooks_.identified(fingerprint, records);
}

void crash_suspects::block(std::string const& fingerprint)
{
    blocked_.insert(fingerprint);
}

void crash_suspects::clear(std::string const& fingerprint, crash_set const& crashes)
{
    for (auto const& [id, upstream] : crashes)
        find_or_create(id).cleared.insert(fingerprint);
    auto const suspect = suspects_.find(fingerprint);
    if (suspect == suspects_.end())
        return;
    for (auto const& [id, upstream] : crashes)
        suspect->second.crashes.erase(id);
    if (suspect->second.crashes.empty())
        suspects_.erase(suspect);
}

suspicion crash_suspects::check(std::string const& fingerprint) const
{
    if (blocked_.contains(fingerprint))
        return suspicion::blocked;
    auto const it = suspects_.find(fingerprint);
    if (it == suspects_.end())
        return suspicion::none;
    return it->second.is_lost ? suspicion::withheld : suspicion::suspect;
}

crash_set crash_suspects::crashes_of(std::string const& fingerprint) const
{
    auto const it = suspects_.find(fingerprint);
    return it == suspects_.end() ? crash_set{} : it->second.crashes;
}

std::vector<std::string> crash_suspects::crashed_upstreams(std::string const& fingerprint) const
{
    std::vector<std::string> upstreams;
    for (auto const& [id, upstream] : crashes_of(fingerprint))
        upstreams.push_back(upstream);
    return upstreams;
}

std::vector<std::string> crash_suspects::suspects() const
{
    std::vector<std::string> found;
    for (auto const& [fingerprint, entry] : suspects_)
    {
        if (check(fingerprint) == suspicion::suspect)
            found.push_back(fingerprint);
    }
    return found;
}

bool crash_suspects::try_start(std::string const& fingerprint, std::string const& upstream)
{
    if (check(fingerprint) != suspicion::suspect || has_suspect(upstream))
        return false;
    auto& entry = suspects_[fingerprint];
    if (!entry.running_on.empty())
        return false;
    entry.running_on = upstream;
    return true;
}

void crash_suspects::finished(std::string const& fingerprint, suspect_result result)
{
    auto const it = suspects_.find(fingerprint);
    if (it == suspects_.end() || it->second.running_on.empty())
        return;
    it->second.running_on.clear();
    if (result == suspect_result::lost)
        it->second.is_lost = true;
    if (result != suspect_result::completed)
        return;
    auto const crashes = it->second.crashes;
    clear(fingerprint, crashes);
    if (hooks_.cleared)
        hooks_.cleared(fingerprint, crashes);
}

bool crash_suspects::has_suspect(std::string const& upstream) const
{
    return upstreams_with_suspect_.contains(upstream) ||
           std::any_of(
               suspects_.begin(),
               suspects_.end(),
               [&](auto const& it) { return it.second.running_on == upstream; });
}

void crash_suspects::set_has_suspect(std::string const& upstream, bool has_suspect)
{
    if (has_suspect)
        upstreams_with_suspect_.insert(upstream);
    else
        upstreams_with_suspect_.erase(upstream);
}

void crash_suspects::tick()
{
    auto const now = clock_();
    std::vector<std::string> expired;
    for (auto const& [id, entry] : crashes_)
    {
        if (now - entry.first_seen > settings_.retention)
            expired.push_back(id);
    }
    for (auto const& id : expired)
        forget(id);
}

void crash_suspects::forget(std::string const& crash)
{
    for (auto it = suspects_.begin(); it != suspects_.end();)
    {
        it->second.crashes.erase(crash);
        bool const is_unused = it->second.crashes.empty() && it->second.running_on.empty();
        it = is_unused ? suspects_.erase(it) : std::next(it);
    }
    crashes_.erase(crash);
}

} // namespace almondcart
