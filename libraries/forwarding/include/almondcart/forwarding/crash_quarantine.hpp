#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/forwarding/crash_record.hpp>

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
    duration crash_spacing{500};

    /// Time after its last crash for which a feature is remembered.
    duration retention{600'000};

    /// Remembered features; those with the oldest crashes are dropped first.
    std::size_t capacity = 4096;
};

/// Finds the features of requests that crash upstreams, from the records of all gateways.
///
/// A feature is a suspect from its first crash on. It is quarantined once it has crashed
/// `crash_limit` processes of upstreams one after the other without an answered request in between:
/// an upstream that answers a request with the feature proves it harmless. All gateways read the
/// same records in the same order, so they reach the same result without further messages.
class crash_quarantine
{
public:
    struct hooks
    {
        std::function<std::int64_t()> wall_time_ms;

        /// Called when a feature is quarantined or, after a quarantine, shown to be harmless.
        std::function<void(
            std::string const& service,
            request_feature const&,
            bool is_quarantined,
            crash_record const& evidence)>
            on_change;
    };

    crash_quarantine(crash_quarantine_settings settings, hooks hooks);

    /// Applies the next record of the log. Repeated records have no effect.
    void apply(crash_record const& record);

    /// Forgets everything, before the records of a snapshot are applied.
    void clear() { suspects_.clear(); }

    /// Returns the first of `features` that is quarantined in `service`, or nothing.
    std::optional<request_feature>
    find(std::string const& service, std::vector<request_feature> const& features) const;

    /// Time until the quarantine of a feature ends, or zero if it is not quarantined.
    duration time_left(std::string const& service, request_feature const& feature) const;

    /// Whether a crash counts against the feature.
    bool is_suspect(std::string const& service, request_feature const& feature) const
    {
        return suspects_.contains({service, feature});
    }

    /// Forgets features whose retention has ended.
    void expire();

    std::size_t quarantined_count() const;

private:
    struct suspect
    {
        std::set<upstream_process> processes;     ///< that crashed
        std::vector<std::int64_t> crash_times_ms; ///< spaced ones, at most `crash_limit`
        std::int64_t last_crash_ms = 0;
    };

    using key = std::pair<std::string, request_feature>; ///< service and feature

    void add_crash(key const& where, crash_record const& record);
    void drop_oldest();
    bool is_quarantined(suspect const& it) const;
    std::int64_t end_ms(suspect const& it) const;

    crash_quarantine_settings settings_;
    hooks hooks_;
    std::map<key, suspect> suspects_;
};

} // namespace almondcart::forwarding
