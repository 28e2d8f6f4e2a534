#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/forwarding/crash_record.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace almondcart::forwarding {

struct crash_quarantine_settings
{
    /// Crashes after which requests with a feature are not sent any more.
    std::size_t crash_limit = 3;

    /// Crashes closer together than this count as one, because one failure of the platform may end
    /// many upstreams at once.
    duration crash_spacing{100};

    /// Time for which a crash counts.
    duration retention{600'000};

    /// Crashes whose time is further ahead of the own wall clock are ignored.
    duration max_clock_lead{3'600'000};

    /// Remembered features of all crashes; the oldest crashes are dropped first.
    std::size_t capacity = 16'384;
};

/// Finds the features of requests that crash upstreams, from the records of all gateways.
///
/// A feature is quarantined once it has crashed `crash_limit` processes of upstreams, one after the
/// other, without an answered request in between: an upstream that answers a request with the
/// feature proves it harmless. A crash that a quarantined feature explains counts against no other.
/// Where several features explain the same crashes, the most specific one is taken, so that as few
/// requests as possible are refused; if it was the wrong one, further crashes show it.
///
/// The result depends only on the records and their order, so all gateways reach the same one
/// without further messages.
class crash_quarantine
{
public:
    struct hooks
    {
        std::function<std::int64_t()> wall_time_ms;

        /// Called by `update` when a quarantine begins or ends. `crashes` is the number of
        /// processes that crashed.
        std::function<void(
            std::string const& service,
            request_feature const&,
            bool is_quarantined,
            std::size_t crashes)>
            on_change;
    };

    crash_quarantine(crash_quarantine_settings settings, hooks hooks);

    /// Adds the next record of the log; `update` must be called after the last one. Repeated
    /// records have no effect.
    void apply(crash_record const& record);

    /// Forgets all records, before those of a snapshot are applied.
    void clear();

    /// Draws the conclusions from new records and drops old ones. Must also be called periodically.
    void update();

    /// Returns the first of `features` that is quarantined in `service`, or nothing.
    std::optional<request_feature>
    find(std::string const& service, feature_list const& features) const;

    /// Time until the quarantine of a feature ends, or zero if it is not quarantined.
    duration time_left(std::string const& service, request_feature const& feature) const;

    /// Whether an unexplained crash counts against the feature.
    bool is_suspect(std::string const& service, request_feature const& feature) const
    {
        return !suspects_.empty() && suspects_.contains({service, feature});
    }

    std::size_t quarantined_count() const { return quarantined_.size(); }

private:
    using key = std::pair<std::string, request_feature>; ///< service and feature

    struct crash
    {
        std::string service;
        std::int64_t wall_time_ms = 0;
        std::vector<feature_list> requests;
        bool is_explained = false; ///< by a quarantined feature; valid during `update`

        bool contains(request_feature const& feature) const;
        std::size_t size() const;
    };

    /// Crashes that count against one feature.
    struct evidence
    {
        std::size_t processes = 0;
        std::vector<std::int64_t> times_ms; ///< in order
    };

    using evidence_map = std::map<key, evidence>;

    void clear_feature(key const& where);
    void drop_old_crashes();
    evidence_map collect() const;
    evidence_map collect_more_specific(key const& than) const;
    void add_evidence(evidence_map& out, crash const& from, std::set<request_feature> const&) const;
    std::optional<key> find_culprit(evidence_map const& all) const;
    bool suffices(evidence const& it) const { return it.times_ms.size() >= settings_.crash_limit; }
    void explain(key const& culprit);
    void report_changes(evidence_map const& before) const;

    crash_quarantine_settings settings_;
    hooks hooks_;
    std::map<upstream_process, crash> crashes_;
    std::size_t size_ = 0; ///< features of all crashes
    bool is_outdated_ = false;
    evidence_map quarantined_;
    std::set<key> suspects_;
};

} // namespace almondcart::forwarding
