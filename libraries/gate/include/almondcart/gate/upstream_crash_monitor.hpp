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

/// Decides from the ends of calls whether the upstream crashed, names the requests that ran, and
/// keeps each crash for the heartbeats until every router has seen it.
///
/// The upstream counts as crashed when all running calls lost their connection within
/// `crash_window` of each other, or after a connection was refused.
/// Requests of a first crash become suspects; a suspect that runs during a further crash is
/// blocked here.
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

    /// The request counts as a suspect if it says so, or if it is one here.
    void call_started(std::uint64_t call, crashed_request request);

    /// The upstream answered, or the call was cancelled here.
    void call_ended(std::uint64_t call);

    /// The upstream answered this call in full: its request is cleared of suspicion.
    void call_completed(std::uint64_t call);

    /// The connection of a started call ended without an answer.
    void call_lost(std::uint64_t call);

    /// A connection to the upstream was refused before any byte was sent.
    void connection_refused(std::uint64_t call);

    /// A probe of the upstream was answered.
    void probe_answered();

    /// No work should be sent until a probe is answered.
    bool is_down() const { return is_down_; }

    bool is_suspect(std::string const& fingerprint) const
    {
        return suspects_.contains(fingerprint);
    }
    bool is_blocked(std::string const& fingerprint) const { return blocked_.contains(fingerprint); }
    bool is_suspect_running() const;

    /// Routers that must see each crash notice.
    void set_routers(std::vector<std::string> routers);

    std::vector<crash_notice> unseen_by(std::string const& router) const;
    void mark_seen(std::string const& router, std::vector<crash_notice> const& notices);

    std::uint64_t crash_count() const { return crash_count_; }

private:
    struct lost_call
    {
        instant at;
        crashed_request request;
    };

    struct kept_notice
    {
        crash_notice notice;
        std::set<std::string> seen_by;
    };

    void forget_old_losses();
    void report_crash_if_all_ended();
    void mark_requests(std::vector<crashed_request> const& requests);
    void drop_seen_notices();

    hooks hooks_;
    std::map<std::uint64_t, crashed_request> running_;
    std::vector<lost_call> lost_;
    std::set<std::string> suspects_;
    std::set<std::string> blocked_;
    std::deque<kept_notice> notices_;
    std::vector<std::string> routers_;
    std::uint64_t crash_count_ = 0;
    bool is_down_ = false;
};

} // namespace almondcart
