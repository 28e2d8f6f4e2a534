#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/core/random_sequence.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace almondcart::forwarding {

/// Path of one copy of a call to the log: direct, or through a relay.
struct log_path
{
    std::string relay; ///< "ip:port"; empty for the direct path

    bool is_direct() const { return relay.empty(); }
};

/// Outcome of one copy of a call to the log.
enum class log_path_result
{
    answered,    ///< the log processed the call
    overloaded,  ///< the log gets too many calls from all processes; no effect
    refused,     ///< the log or the relay turned the call away, which had no effect
    lost,        ///< no response; the call may have taken effect
    unreachable, ///< the other end did not accept the call
};

std::string_view name_of(log_path_result result);

/// Process beside an upstream that passes calls on to the log.
struct log_relay
{
    std::string address; ///< "ip:port"
    std::string availability_zone;

    // clang-tidy 14 mistakes the zero in rewritten comparisons for a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(log_relay const&) const = default;
};

struct log_path_settings
{
    std::string availability_zone;
    std::uint64_t seed = 0;          ///< spreads gateways over the relays
    duration min_silence_limit{150}; ///< without a response before a call is copied to a relay
    duration probe_interval{500};    ///< between probes of a direct path that is down
    duration relay_backoff{2'000};   ///< after a relay did not pass a call on
    duration futile_backoff{500};    ///< after no relay reached the log
    duration shut_out_time{500};     ///< of overload without any answer before relays are tried
};

/// Chooses the path of each call to the log. Calls take the direct path until a relay gets an
/// answer that the direct path did not give in time; then they go through relays, preferably in the
/// same availability zone, while single calls still probe the direct path.
///
/// A call may be sent on several paths, so each must be safe to repeat.
class log_path_selector
{
public:
    struct hooks
    {
        clock_function clock;

        /// Called when the direct path goes down or comes back. `evidence` is the outcome that
        /// decided it.
        std::function<void(bool is_direct_up, std::string_view evidence)> on_change;
    };

    log_path_selector(log_path_settings settings, hooks hooks);

    /// Replaces the known relays. Beliefs about relays that stay known are kept.
    void set_relays(std::set<log_relay> const& relays);

    /// Path for a new call.
    log_path choose();

    /// A relay that is not in `tried`, for a further copy of a call, or nothing if another copy
    /// would probably not reach the log either.
    std::optional<log_path> choose_relay(std::set<std::string> const& tried);

    /// Whether a call that goes through a relay should also be sent directly, to find out whether
    /// the direct path is back. Returns true once per probe interval while that path is down.
    bool try_begin_probe();

    /// Time without a response after which a call is copied to another path.
    duration silence_limit() const;

    /// Records the outcome of one copy, which took `time`.
    void record(log_path const& path, log_path_result result, duration time);

    /// Records that a relay got an answer after the direct copy of the same call got none.
    /// `direct` is the outcome of that copy; `lost` if it is still without a response.
    void record_bypass(log_path_result direct);

    /// Records that neither the direct path nor the relays tried got an answer to a call.
    void record_futile();

    bool is_direct_up() const { return is_direct_up_; }

    /// Whether the log answers only `overloaded` on the direct path. An overloaded log still serves
    /// some calls of each process, so it probably turns this process away and serves others.
    bool is_shut_out() const;
    std::size_t relay_count() const { return relays_.size(); }

private:
    struct relay_state
    {
        bool is_near = false; ///< in the availability zone of this process
        instant blocked_until{};
    };

    void record_direct(log_path_result result, duration time);
    void set_direct_up(bool is_up, std::string_view evidence);

    log_path_settings settings_;
    hooks hooks_;
    random_sequence random_;
    std::map<std::string, relay_state> relays_; ///< by address
    std::string current_relay_;                 ///< used until it fails, to keep its connections
    bool is_direct_up_ = true;
    instant next_probe_{};
    instant futile_until_{};
    duration answer_time_{0}; ///< smoothed, of direct calls
    int overload_count_ = 0;  ///< of direct calls since the last one that was answered
    instant overloaded_since_{};
};

} // namespace almondcart::forwarding
