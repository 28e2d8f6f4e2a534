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

/// Properties of a pool's upstream from the service document.
struct upstream_traits
{
    std::vector<std::string> models; ///< empty for plain services
    std::string role;
    int slots = 1;
};

/// Load of an upstream as its agent reports it to one router.
struct load_report
{
    int running = 0; ///< running requests of all routers
    int queued = 0;  ///< queued requests of all routers
    /// Requests that the agent incarnation has received so far from the router it reports to.
    std::uint64_t received = 0;
};

enum class cache_event_kind
{
    stored,
    evicted,
    cleared,
};

/// Change of an upstream's prompt-prefix cache. Events may arrive late and with gaps.
struct cache_event
{
    std::uint64_t sequence = 0; ///< increases by one per event of an upstream
    cache_event_kind kind = cache_event_kind::stored;
    std::uint64_t prefix = 0; ///< `upstream_selector::affinity_key` of the prompt
};

/// Requirements of a request on its upstream.
struct selection_request
{
    std::string_view prompt;        ///< only its leading bytes are used
    std::string model;              ///< empty: any
    std::string role;               ///< empty: any; upstreams of role "mixed" or "" take every role
    std::vector<std::string> avoid; ///< upstreams used by earlier attempts
};

struct selection
{
    std::string upstream;
    std::uint64_t affinity_key = 0;
    bool is_preferred = false; ///< whether it is the first candidate in the prefix's order
};

struct selector_settings
{
    std::size_t affinity_bytes = 1024; ///< leading bytes of a prompt that identify its prefix
    /// An upstream takes work only up to this multiple of the average load, so that a popular
    /// prefix spreads over several upstreams.
    double load_bound = 1.25;
    /// Share of its slots that an upstream fills regardless of the average load. While the batch is
    /// small, moving work away from a cached prefix gains nothing.
    double min_fill_share = 0.5;
    /// Multiple of its equal share of an upstream's slots that a router may fill with its own
    /// requests. Without this bound, routers with the same prefix order would fill the same slots
    /// between two load reports.
    double router_share_bound = 1.5;
    /// Number of leading candidates in rendezvous order among which a cache hint decides.
    std::size_t hint_candidate_count = 3;
    /// Prefixes remembered per upstream. When it is exceeded, all hints of the upstream are
    /// dropped.
    std::size_t max_hints_per_upstream = 4096;
};

/// Selects an upstream of one pool by prefix affinity with bounded load. Load reports lag behind,
/// so the router adds its own dispatches that a report cannot include yet and subtracts its
/// completions since the report.
class upstream_selector
{
public:
    /// `is_usable` returns whether an upstream may receive new work (`membership::is_usable`).
    upstream_selector(
        std::function<bool(std::string const&)> is_usable,
        selector_settings settings = {});

    /// Replaces the pool's upstreams. Upstreams that remain keep their counts.
    void set_upstreams(std::map<std::string, upstream_traits> const& upstreams);

    /// Sets the number of live routers, including this one, that share the upstreams.
    void set_routers(int routers);

    /// Hash of the prompt's leading bytes. Equal on every router.
    std::uint64_t affinity_key(std::string_view prompt) const;

    /// Returns nothing if no usable upstream outside `avoid` serves the model and role.
    std::optional<selection> select(selection_request const& request) const;

    /// Returns the first upstream in the prefix's order whose agent is reachable
    /// (`membership::is_reachable`), regardless of load and of whether the upstream itself is up.
    /// Its agent holds the prefix's run placements, so it must not change when the upstream
    /// crashes.
    std::optional<std::string> find_home(
        std::string_view prompt,
        std::string const& model,
        std::function<bool(std::string const&)> const& is_reachable) const;

    /// `dispatched` counts a request sent to an upstream, `finished` its end with any result. The
    /// epoch returned by `dispatched` is passed to `finished`, so that the end of a request of an
    /// earlier incarnation is not counted against the new one.
    std::uint64_t dispatched(std::string const& upstream);
    void finished(std::string const& upstream, std::uint64_t epoch);

    void apply(std::string const& upstream, load_report const& report);
    void apply(std::string const& upstream, cache_event const& event);

    /// Resets counts, load and hints after a restart of the agent or upstream.
    void restarted(std::string const& upstream);

    /// Requests at the upstream according to the corrected load report.
    int load_of(std::string const& upstream) const;

    /// Requests that this router has sent to the upstream since the upstream's last restart.
    std::uint64_t dispatched_count(std::string const& upstream) const;

    /// Requests of this router that are in flight at the upstream.
    int in_flight(std::string const& upstream) const;

    /// Whether the upstream is believed to hold the prefix.
    bool is_hinted(std::string const& upstream, std::uint64_t affinity_key) const;

    /// Total slots of the usable upstreams.
    int usable_slots() const;

    /// Requests that this router may run concurrently: an equal share of the usable slots, or more
    /// while other routers leave slots unused.
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
    std::vector<candidate> rank_candidates(
        selection_request const& request,
        std::function<bool(std::string const&)> const& is_eligible) const;
    bool has_capacity(candidate const& it, double average_load) const;

    std::function<bool(std::string const&)> is_usable_;
    selector_settings settings_;
    int router_count_ = 1;
    std::map<std::string, upstream_entry> upstreams_;
};

} // namespace almondcart
