#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/routing/crash_set.hpp>

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondcart {

/// Question of a router to the home agent of a request's prefix: where may this fingerprint run?
struct placement_request
{
    std::string fingerprint;
    std::string proposed;           ///< upstream that the router would choose
    crash_set crashes;              ///< known to the router
    std::set<std::string> unusable; ///< upstreams that the router sees as leaving or lost
};

enum class placement_state
{
    placed,  ///< runs on `upstream`, as any other request
    suspect, ///< runs on `upstream` as a suspect
    refused, ///< ran on two upstreams already, or cannot run on the one it is bound to
};

struct placement
{
    placement_state state = placement_state::refused;
    std::string upstream;
    crash_set crashes; ///< all that are known for the fingerprint
};

struct run_placement_settings
{
    duration idle_lifetime{60'000};       ///< of entries without a crash, after the last question
    duration suspect_lifetime{3'600'000}; ///< of entries with a crash
    std::size_t capacity = 20'000;        ///< entries; the longest unused ones are dropped
};

/// Table in the home agent of a prefix. It binds each fingerprint to at most two upstreams, those
/// that crashed with it included: one for the first run, and one for its single further run.
/// Concurrent copies of a request, sent through any number of routers, therefore meet on the same
/// upstream, and a request that crashes its upstreams brings down at most two.
class run_placements
{
public:
    explicit run_placements(clock_function clock, run_placement_settings settings = {});

    placement place(placement_request const& request);

    /// The fingerprint was running when the agent's own upstream crashed.
    void add_crashes(std::string const& fingerprint, crash_set const& crashes);

    /// The fingerprint ran to its end as a suspect; its crashes no longer count.
    void clear(std::string const& fingerprint);

    /// The fingerprint is blocked by the configuration.
    void block(std::string const& fingerprint);

    /// Drops entries past their lifetime.
    void tick();

    std::size_t size() const { return entries_.size(); }

private:
    struct entry
    {
        std::vector<std::string> bound; ///< at most two, crashed ones included
        crash_set crashes;
        std::set<std::string> cleared; ///< crash ids that `clear` made void
        bool is_blocked = false;
        instant last_use;
    };

    entry& find_or_create(std::string const& fingerprint);
    static void merge(entry& it, crash_set const& crashes);
    static placement place_first(entry& it, placement_request const& request);
    static placement place_suspect(entry& it, placement_request const& request);
    void make_room();

    clock_function clock_;
    run_placement_settings settings_;
    std::map<std::string, entry> entries_;
};

} // namespace almondcart
