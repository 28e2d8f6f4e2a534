#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/routing/crash_set.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondcart {

/// Asks the home agent of a request's prefix on which upstream a fingerprint may run.
struct placement_request
{
    std::string fingerprint;
    std::string proposed;           ///< upstream that the router selected
    crash_set crashes;              ///< crashes known to the router
    std::set<std::string> unusable; ///< upstreams that the router considers leaving or lost
};

enum class placement_state
{
    placed,  ///< runs on `upstream` like any other request
    suspect, ///< runs on `upstream` as a suspect
    refused, ///< already ran on two upstreams, or cannot run on the upstream it is bound to
};

struct placement
{
    placement_state state = placement_state::refused;
    std::string upstream;
    crash_set crashes; ///< all known crashes of the fingerprint
};

struct run_placement_settings
{
    duration idle_lifetime{60'000};       ///< of entries without a crash, after their last use
    duration suspect_lifetime{3'600'000}; ///< of entries with a crash, after their last use
    std::size_t capacity = 20'000;        ///< entries; the least recently used is evicted first
};

/// Table in the home agent of a prefix. Binds each fingerprint to at most two upstreams, including
/// those that crashed with it: one for the first run and one for a single retry. Concurrent copies
/// of a request, sent through any number of routers, therefore run on the same upstream, and a
/// request that crashes its upstreams brings down at most two of them.
class run_placements
{
public:
    explicit run_placements(clock_function clock, run_placement_settings settings = {});

    placement place(placement_request const& request);

    /// Adds crashes of the agent's own upstream during which the fingerprint was running.
    void add_crashes(std::string const& fingerprint, crash_set const& crashes);

    /// The fingerprint completed as a suspect, so its crashes no longer count.
    void clear(std::string const& fingerprint);

    /// Refuses the fingerprint from now on, because the configuration blocks it.
    void block(std::string const& fingerprint);

    /// Drops entries whose lifetime has passed.
    void tick();

    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        std::vector<std::string> upstreams; ///< at most two, including crashed ones
        crash_set crashes;
        std::set<std::string> cleared; ///< ids of crashes that no longer count
        bool is_blocked = false;
        instant last_use;
    };

    entry& find_or_create(std::string const& fingerprint);
    static void merge_crashes(entry& it, crash_set const& crashes);
    static placement place_first(entry& it, placement_request const& request);
    static placement place_suspect(entry& it, placement_request const& request);
    void evict_if_full();

    clock_function clock_;
    run_placement_settings settings_;
    std::map<std::string, entry> entries_;
};

} // namespace almondcart
