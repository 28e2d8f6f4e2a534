#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/gate/heartbeat.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace almondcart {

/// Detects crashes of the upstream from the way its calls end, records the requests that were
/// running, and keeps each crash notice for the heartbeats until every router has acknowledged it.
///
/// The upstream counts as crashed if all running calls lose their connection within `crash_window`
/// of each other, or after a connection was refused.
/// Requests that were running during a crash become suspects. A suspect that is running during
/// another crash is blocked here.
class upstream_crash_monitor
{
public:
    static constexpr duration crash_window{500};
    static constexpr std::size_t notice_limit = 64;
    static constexpr std::size_t fingerprint_limit = 4096;

    struct hooks
    {
        clock_function now;
        std::function<std::string()> create_crash_id;
        std::function<void(crash_notice const&)> crashed; ///< may be empty
    };

    explicit upstream_crash_monitor(hooks hooks);

    /// The request counts as a suspect if `ran_as_suspect` is set or this monitor suspects it.
    void call_started(std::uint64_t call, crashed_request request);

    /// The upstream responded, or this agent cancelled the call.
    void call_ended(std::uint64_t call);

    /// The upstream completed the call, so its request is no longer a suspect.
    void call_completed(std::uint64_t call);

    /// The connection of a started call ended without a complete response.
    void call_lost(std::uint64_t call);

    /// A connection to the upstream was refused before any byte was sent.
    void connection_refused(std::uint64_t call);

    /// The upstream responded to a probe.
    void probe_answered();

    /// Whether the upstream must not receive work until it responds to a probe.
    bool is_down() const { return is_down_; }

    bool is_suspect(std::string const& fingerprint) const
    {
        return suspects_.contains(fingerprint);
    }
    bool is_blocked(std::string const& fingerprint) const { return blocked_.contains(fingerprint); }
    bool is_suspect_running() const;

    /// Sets the routers that must acknowledge each crash notice.
    void set_routers(std::vector<std::string> routers);

    /// Notices that the router has not acknowledged.
    std::vector<crash_notice> notices_for(std::string const& router) const;
    void acknowledge(std::string const& router, std::vector<crash_notice> const& notices);

    std::uint64_t crash_count() const { return crash_count_; }

private:
    struct lost_call
    {
        instant lost_at;
        crashed_request request;
    };

    struct pending_notice
    {
        crash_notice notice;
        std::set<std::string> acknowledged_by;
    };

    void drop_expired_losses();
    void report_crash_if_idle();
    void update_suspects(std::vector<crashed_request> const& requests);
    void drop_acknowledged_notices();

    hooks hooks_;
    std::map<std::uint64_t, crashed_request> running_;
    std::vector<lost_call> lost_;
    std::set<std::string> suspects_;
    std::set<std::string> blocked_;
    std::deque<pending_notice> notices_;
    std::vector<std::string> routers_;
    std::uint64_t crash_count_ = 0;
    bool is_down_ = false;
};

} // namespace almondcart
