#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/forwarding/gateway_registry.hpp>
#include <almondcart/forwarding/upstream_directory.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace almondcart::forwarding {

class cold_start_limiter;

/// Permit to send one request to an upstream. Counts as a send in progress until `confirm`, then as
/// a send at that time. Must not outlive its limiter.
class send_permit
{
public:
    /// Permit for an upstream without a limit.
    send_permit() = default;
    send_permit(cold_start_limiter& limiter, upstream_pointer target);
    send_permit(send_permit&& other) noexcept;
    send_permit& operator=(send_permit&& other) noexcept;
    ~send_permit();

    /// Must be called right before the first byte is sent. Returns false if the request must not be
    /// sent, because the upstream has turned cold since and its share is used up.
    bool confirm();

    /// The upstream did not take the request (421), so that it does not count.
    void give_back();

private:
    void release();

    cold_start_limiter* limiter_ = nullptr;
    upstream_pointer target_;
    std::optional<instant> sent_at_;
};

/// Limits what this gateway sends to upstreams that are cold, or may be. An upstream is cold while
/// its registry entry says so. It may be cold after a lost connection, because it may have started
/// anew under the same id, and after a drain of its zone.
class cold_start_limiter
{
public:
    /// Limits of one service.
    struct limits
    {
        duration cold_time{0};       ///< for which an upstream stays cold
        std::int64_t per_second = 0; ///< that a cold upstream tolerates; 0: no limit
    };

    struct hooks
    {
        clock_function clock;
        std::function<limits(std::string const& service)> limits_of;
        /// Called by `tick` when an upstream has turned cold or warm. May be empty.
        std::function<void(upstream const&, bool is_cold)> on_change;
    };

    /// `gateways` must outlive this object.
    cold_start_limiter(hooks hooks, gateway_registry const& gateways);

    bool is_cold(upstream const& target) const;

    /// Whether a request may be sent to the upstream now.
    bool may_send(upstream const& target);

    /// Returns a permit to send one request, or nothing if none may be sent now.
    std::optional<send_permit> try_reserve(upstream_pointer const& target);

    /// A connection to the upstream was lost: refused, reset or broken off.
    void record_loss(upstream const& target);

    /// The drain of the upstream's zone has ended.
    void record_drain_end(upstream const& target);

    /// Reports changes and drops state that is no longer needed. Must be called periodically.
    void tick(upstream_directory const& directory);

    /// Number of cold upstreams at the last `tick`.
    std::size_t cold_count() const { return cold_count_; }

    /// Number of times that a request was kept away from a cold upstream.
    std::int64_t kept_away_count() const { return kept_away_count_; }

private:
    friend class send_permit;

    /// Reason to treat an upstream as cold that its next entries may refute.
    struct suspicion
    {
        instant end{};
        instant refutable_from{};     ///< earlier entries may be older than the reason
        bool needs_statement = false; ///< an entry that says nothing does not refute it
    };

    struct upstream_state
    {
        std::optional<suspicion> lost;
        std::optional<suspicion> drained;
        std::deque<instant> sent; ///< in the last second, oldest first
        std::int64_t in_progress = 0;
        std::int64_t share = 0;
        std::uint64_t share_version = 0; ///< of the gateways, when `share` was computed
        std::int64_t share_limit = 0;    ///< `per_second` when `share` was computed
        bool was_cold = false;
    };

    bool holds(std::optional<suspicion> const& it, upstream const& target, instant now) const;
    std::int64_t share_of(upstream_state& state, std::string const& id, std::int64_t per_second);
    std::int64_t sent_count(upstream_state& state) const;
    bool has_room(upstream const& target, std::int64_t in_progress);
    void expire(upstream_directory const& directory);

    hooks hooks_;
    gateway_registry const& gateways_;
    std::map<std::string, upstream_state> states_;
    std::size_t cold_count_ = 0;
    std::int64_t kept_away_count_ = 0;
};

} // namespace almondcart::forwarding
