#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/routing/crash_set.hpp>

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondcart {

/// Request that was running when an upstream crashed.
struct crash_participant
{
    std::string request; ///< text form of its id
    std::string fingerprint;
    bool ran_as_suspect = false; ///< it was dispatched as a suspect, by any router
};

/// Crash of an upstream as its agent reports it, repeated in heartbeats.
struct upstream_crash
{
    std::string crash; ///< id, unique per crash
    std::string upstream;
    std::string agent; ///< text form of the process id
    std::vector<crash_participant> requests;
};

/// `crash_report` that is due on the `config` stream.
struct crash_record
{
    std::string crash;
    std::string fingerprint;
    std::string upstream;
    std::string agent;
    std::string request;
};

enum class suspicion
{
    none,     ///< runs as any other request
    suspect,  ///< runs once more, alone among suspects on its upstream
    withheld, ///< its further run was lost without a crash report; not run until this expires
    blocked,  ///< identified; never runs
};

/// End of a suspect's further run.
enum class suspect_result
{
    completed, ///< the upstream ran it to its end
    not_run,   ///< the agent refused it, or it never started
    ended,     ///< cancelled or failed, without a crash
    lost,      ///< connection to the agent lost
};

struct crash_suspects_settings
{
    duration memory{3'600'000};  ///< time for which a crash is remembered
    std::size_t capacity = 4096; ///< crashes that are remembered; the oldest are dropped first
};

struct crash_suspects_hooks
{
    /// A fingerprint was identified. Peers are told at once (`block` there), and the records are
    /// appended to `config`, unless another router has done so.
    std::function<void(std::string const& fingerprint, std::vector<crash_record> const&)>
        identified;

    /// A suspect completed here. Peers and the home agent are told (`clear`).
    std::function<void(std::string const& fingerprint, crash_set const& crashes)> cleared;
};

/// Requests that are suspected to crash the upstreams that run them. Each router applies the crash
/// reports of all agents, in any order and any number of times, and arrives at the same answer.
///
/// A crash makes every request that was running a suspect, except when one of them ran as a
/// suspect: then that one is identified, and the others are not suspected. A fingerprint in two
/// crashes is identified in any case.
class crash_suspects
{
public:
    crash_suspects(
        clock_function clock,
        crash_suspects_hooks hooks,
        crash_suspects_settings settings = {});

    /// Applies a report from an agent's heartbeat or from a peer. Repetitions have no effect.
    void apply(upstream_crash const& crash);

    /// Blocks a fingerprint found in the configuration fold or reported by a peer.
    void block(std::string const& fingerprint);

    /// A suspect completed, here or at a peer. Its crashes known so far no longer count, also if
    /// their reports arrive again.
    void clear(std::string const& fingerprint, crash_set const& crashes);

    /// Learns of crashes whose reports have not arrived yet, from a home agent's placement.
    void add(std::string const& fingerprint, crash_set const& crashes);

    suspicion check(std::string const& fingerprint) const;

    /// Crashes in which the fingerprint is suspected, for `run_placements` and for `clear` at
    /// peers.
    crash_set crashes_of(std::string const& fingerprint) const;

    /// Upstreams that crashed with the fingerprint, to be avoided by its further run.
    std::vector<std::string> crashed_upstreams(std::string const& fingerprint) const;

    /// Requests that were running in any remembered crash, and may run again as a suspect.
    std::vector<std::string> suspects() const;

    /// Starts the further run of a suspect on an upstream. Returns false if the fingerprint is not
    /// (or no longer) a suspect, is running as one already, or another suspect runs there.
    bool try_start(std::string const& fingerprint, std::string const& upstream);

    /// Ends it. `completed` clears the fingerprint. A crash is not reported here but by `apply`.
    void finished(std::string const& fingerprint, suspect_result result);

    /// Whether this router knows of a suspect running on the upstream. A suspect run of another
    /// router is known from its agent's heartbeat.
    bool has_suspect(std::string const& upstream) const;
    void set_has_suspect(std::string const& upstream, bool has_suspect);

    /// Forgets crashes past their time.
    void tick();

private:
    struct crash_entry
    {
        upstream_crash crash;
        instant seen;
        std::set<std::string> cleared;
        bool is_reported = false;
    };
    struct suspect_entry
    {
        crash_set crashes;
        std::string running_on; ///< upstream of its further run by this router, or empty
        bool is_lost = false;
    };

    crash_entry& find_or_create(std::string const& crash);
    void identify(std::string const& fingerprint);
    void forget(std::string const& crash);

    clock_function clock_;
    crash_suspects_hooks hooks_;
    crash_suspects_settings settings_;
    std::map<std::string, crash_entry> crashes_;
    std::map<std::string, suspect_entry> suspects_;
    std::set<std::string> blocked_;
    std::set<std::string> announced_;              ///< fingerprints given to the `identified` hook
    std::set<std::string> upstreams_with_suspect_; ///< by heartbeats
};

} // namespace almondcart
