#pragma once

#include <almondcart/core/clock.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_set>
#include <vector>

namespace almondcart {

/// What the document says about an upstream of a pool.
struct upstream_traits
{
    std::vector<std::string> models; ///< empty for plain services
    std::string role;
    int slots = 1;
};

/// Load of an upstream as its agent reports it to one router.
struct load_report
{
    int running = 0; ///< requests of all routers
    int queued = 0;  ///< requests of all routers
    /// Requests of the receiving router that the agent incarnation has received so far.
    std::uint64_t received = 0;
};

enum class cache_event_kind
{
    stored,
    evicted,
    cleared,
};

/// Change of an upstream's prompt-prefix cache. Events arrive late and with gaps.
struct cache_event
{
    std::uint64_t sequence = 0; ///< increases by one per event of an upstream
    cache_event_kind kind = cache_event_kind::stored;
    std::uint64_t prefix = 0; ///< `upstream_selector::affinity_key` of the prompt
};

/// What a request needs from its upstream.
struct selection_request
{
    std::string_view prompt;        ///< only its leading bytes decide
    std::string model;              ///< empty: any
    std::string role;               ///< empty: any; upstreams of role "mixed" or "" take every role
    std::vector<std::string> avoid; ///< upstreams of earlier attempts
};

struct selection
{
    std::string upstream;
    std::uint64_t affinity_key = 0;
    bool is_preferred = false; ///< the first choice of the prefix, not one further down its order
};

struct selector_settings
{
    std::size_t affinity_bytes = 1024; ///< leading bytes of a prompt that name its prefix
    /// An upstream takes work beyond its first choices only up to this multiple of the average
    /// load, so that a popular prefix spreads over several upstreams.
    double load_bound = 1.25;
    /// Share of its slots that an upstream fills regardless of the average, because sending work
    /// away from a cached prefix gains nothing while the batch is small.
    double free_share = 0.5;
    /// Multiple of its equal share of an upstream's slots that a router fills with its own
    /// requests. Routers that follow one prefix order would otherwise fill the same slots between
    /// two reports.
    double own_share_bound = 1.5;
    /// Length of the rendezvous order in which a cache hint may move a request.
    std::size_t hint_reach = 3;
    /// Prefixes remembered per upstream; beyond it the hints of that upstream are dropped.
    std::size_t hint_limit = 4096;
};

/// Chooses an upstream of one pool by prefix affinity with bounded load. Load reports lag, so the
/// router's own dispatches that a report cannot include yet are added to it, and its completions
/// since then are subtracted.
class upstream_selector
{
public:
    /// `is_usable` says whether an upstream may receive new work (`membership::is_usable`).
    upstream_selector(
        std::function<bool(std::string const&)> is_usable,
        selector_settings settings = {});

    /// Replaces the pool's upstreams. Counts of upstreams that stay are kept.
    void set_upstreams(std::map<std::string, upstream_traits> const& upstreams);

    /// Number of live routers, this one included, that share the upstreams.
    void set_routers(int routers);

    /// Key of the prompt's leading bytes, equal on every router.
    std::uint64_t affinity_key(std::string_view prompt) const;

    /// Nothing if no usable upstream serves the model and role and is not to be avoided.
    std::optional<selection> select(selection_request const& request) const;

    /// First upstream in the prefix's order whose agent is reachable (`membership::is_reachable`),
    /// regardless of load and of whether the upstream itself is up. Its agent keeps the prefix's
    /// run placements, so it must not move when the upstream crashes.
    std::optional<std::string> find_home(
        std::string_view prompt,
        std::string const& model,
        std::function<bool(std::string const&)> const& is_reachable) const;

    /// Counts a request sent to an upstream; `finished` counts its end, whatever the result. The
    /// return value of `dispatched` is passed to `finished`, so that an end that belongs to an
    /// earlier incarnation is not counted against the new one.
    std::uint64_t dispatched(std::string const& upstream);
    void finished(std::string const& upstream, std::uint64_t epoch);

    void apply(std::string const& upstream, load_report const& report);
    void apply(std::string const& upstream, cache_event const& event);

    /// Forgets counts, load and hints after the agent or upstream restarted.
    void restarted(std::string const& upstream);

    /// Requests at the upstream by the corrected report.
    int load_of(std::string const& upstream) const;

    /// Requests that this router has sent to the upstream since it started or restarted.
    std::uint64_t dispatched_count(std::string const& upstream) const;

    /// Requests of this router at the upstream.
    int in_flight(std::string const& upstream) const;

    /// Whether the upstream is believed to hold the prefix.
    bool is_hinted(std::string const& upstream, std::uint64_t affinity_key) const;

    /// Slots of usable upstreams.
    int usable_slots() const;

    /// Requests that this router may run at once: an equal share of the usable slots among the live
    /// routers, or more while the others leave slots unused.
    int concurrency_limit() const;

private:
    struct upstream_entry
    {
        upstream_traits traits;
        std::uint64_t epoch = 0;
        std::uint64_t dispatched = 0; ///< in this epoch
        std::uint64_t finished = 0;   ///< in this epoch
        load_report report;
        std::uint64_t finished_at_report = 0;
        std::uint64_t last_event = 0;
        std::unordered_set<std::uint64_t> prefixes;
    };
    struct candidate
    {
        std::string const* name = nullptr;
        upstream_entry const* entry = nullptr;
        std::uint64_t score = 0;
    };

    static int load_of(upstream_entry const& entry);
    static bool serves(upstream_entry const& entry, selection_request const& request);
    std::vector<candidate> ordered_candidates(
        selection_request const& request,
        std::function<bool(std::string const&)> const& is_eligible) const;
    bool has_room(candidate const& it, double average_load) const;

    std::function<bool(std::string const&)> is_usable_;
    selector_settings settings_;
    int routers_ = 1;
    std::map<std::string, upstream_entry> upstreams_;
};

} // namespace almondcart
