#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/forwarding/answered_features.hpp>
#include <almondcart/forwarding/crash_record.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace almondcart::forwarding {

struct crash_observer_settings
{
    /// Time after a lost connection in which a response of the same upstream shows that it did not
    /// crash.
    duration confirmation{300};

    /// Bytes that an upstream sent before it crashed may be read for this long after the loss.
    duration late_bytes{50};

    /// Pause between two reports that requests with one feature are answered.
    duration answer_interval{1000};

    /// Requests in one report.
    std::size_t report_limit = 32;

    answered_features_settings answered;
};

/// Turns what happens to the requests of one gateway into reports about crashes of upstreams.
///
/// A request whose connection breaks before its answer begins is a suspect, unless the upstream
/// still responds to others. One that crashes an upstream never gets an answer, so requests whose
/// answer had begun are not suspected. Neither are features with which this gateway has lately seen
/// requests answered: while no upstream is left to answer any, nothing else tells the cause from
/// popular requests and from the parts that prompts share.
class crash_observer
{
public:
    struct hooks
    {
        clock_function clock;
        std::function<std::int64_t()> wall_time_ms;

        /// Whether the records of all gateways count a crash against the feature.
        std::function<bool(std::string const& service, request_feature const&)> is_suspect;

        /// Receives a report without VM and slot.
        std::function<void(crash_record)> report;

        /// Called when an upstream responded after a loss.
        std::function<void(upstream_process const&)> on_contradiction;
    };

    crash_observer(crash_observer_settings settings, hooks hooks);

    /// The upstream broke the connection of a request whose answer had not begun.
    void
    lost(upstream_process const& process, std::string const& service, feature_list const& features);

    /// A response or part of one arrived from the upstream.
    void responded(upstream_process const& process);

    /// An upstream of the service has begun to answer a request with these features.
    void answered(std::string const& service, feature_list const& features);

    /// Reports losses that have not been contradicted in time. Must be called periodically.
    void tick();

private:
    answered_features& answered_of(feature_kind kind);

    struct loss
    {
        std::string service;
        instant at{};
        std::int64_t wall_time_ms = 0;
        std::vector<feature_list> requests; ///< without features that are known to be harmless
    };

    crash_observer_settings settings_;
    hooks hooks_;
    answered_features answered_parts_;
    answered_features answered_contents_; ///< apart, because most contents come once
    std::map<upstream_process, loss> losses_;
    /// Time of the last report that requests with a feature are answered.
    std::map<std::pair<std::string, request_feature>, instant> answer_reports_;
};

} // namespace almondcart::forwarding
