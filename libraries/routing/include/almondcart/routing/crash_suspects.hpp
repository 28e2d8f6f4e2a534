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
    std::string request; ///< text form of the request id
    std::string fingerprint;
    bool ran_as_suspect = false; ///< dispatched as a suspect by any router
};

/// Crash of an upstream as reported by its agent. Heartbeats repeat the report.
struct upstream_crash
{
    std::string crash; ///< id, unique per crash
    std::string upstream;
    std::string agent; ///< text form of the process id
    std::vector<crash_participant> requests;
};

/// `crash_report` record to be appended to the `config` stream.
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
    none,     ///< runs like any other request
    suspect,  ///< may run once more, as the only suspect on its upstream
    withheld, ///< its retry was lost without a crash report; does not run until the entry expires
    blocked,  ///< identified as the cause of crashes; never runs
};

/// How the retry of a suspect ended.
enum class suspect_result
{
    completed, ///< the upstream completed the request
    not_run,   ///< refused by the agent, or never started
    ended,     ///< cancelled or failed without a crash
    lost,      ///< the connection to the agent was lost
};

struct crash_suspects_settings
{
    duration retention{3'600'000}; ///< time for which a crash is remembered
    std::size_t capacity = 4096;   ///< remembered crashes; the oldest are dropped first
};

struct crash_suspects_hooks
{
    /// A fingerprint was identified as the cause of a crash. The receiver notifies peers at once,
    /// which call `block`, and appends the records to `config` unless another router has done so.
    std::function<void(std::string const& fingerprint, std::vector<crash_record> const&)>
        identified;

    /// A suspect completed at this router. The receiver notifies peers and the home agent, which
    /// call `clear`.
    std::function<void(std::string const& fingerprint, crash_set const& crashes)> cleared;
};

/// Tracks requests that are suspected to crash the upstreams that run them. Routers apply the crash
/// reports of all agents, in any order and any number of times, and reach the same result.
///
/// A crash makes every request that was running on the upstream a suspect. If one of them already
/// ran as a suspect, that one is identified as the cause and the others are not suspected. A
/// fingerprint that takes part in two crashes is identified in any case.
class crash_suspects
{
public:
    crash_suspects(
        clock_function clock,
        crash_suspects_hooks hooks,
        crash_suspects_settings settings = {});

    /// Applies a report from an agent's heartbeat or from a peer. Repeated reports have no effect.
    void apply(upstream_crash const& crash);

    /// Blocks a fingerprint that the configuration contains or a peer reports.
    void block(std::string const& fingerprint);

    /// A suspect completed, here or at a peer. `crashes` no longer count against it, even if their
    /// reports arrive again.
    void clear(std::string const& fingerprint, crash_set const& crashes);

    /// Adds crashes from a home agent's placement whose reports have not arrived yet.
    void add(std::string const& fingerprint, crash_set const& crashes);

    suspicion check(std::string const& fingerprint) const;

    /// Crashes in which the fingerprint is a suspect. Sent to `run_placements` and to `clear` of
    /// peers.
    crash_set crashes_of(std::string const& fingerprint) const;

    /// Upstreams that crashed while running the fingerprint. Its retry must avoid them.
    std::vector<std::string> crashed_upstreams(std::string const& fingerprint) const;

    /// Fingerprints that took part in a remembered crash and may run again as a suspect.
    std::vector<std::string> suspects() const;

    /// Starts the retry of a suspect on an upstream. Returns false if the fingerprint is not a
    /// suspect (any more), already runs as one, or another suspect runs on the upstream.
    bool try_start(std::string const& fingerprint, std::string const& upstream);

    /// Ends the retry. `completed` clears the fingerprint. Crashes are reported through `apply`.
    void finished(std::string const& fingerprint, suspect_result result);

    /// Whether this router knows of a suspect running on the upstream. Suspects of other routers
    /// are known from the agent's heartbeat.
    bool has_suspect(std::string const& upstream) const;
    void set_has_suspect(std::string const& upstream, bool has_suspect);

    /// Forgets crashes whose retention time has passed.
    void tick();

private:
    struct crash_entry
    {
        upstream_crash crash;
        instant first_seen;
        std::set<std::string> cleared;
        bool is_reported = false;
    };
    struct suspect_entry
    {
        crash_set crashes;
        std::string running_on; ///< upstream on which this router retries it, or empty
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
    std::set<std::string> notified_;               ///< fingerprints passed to the `identified` hook
    std::set<std::string> upstreams_with_suspect_; ///< as reported by heartbeats
};

} // namespace almondcart
