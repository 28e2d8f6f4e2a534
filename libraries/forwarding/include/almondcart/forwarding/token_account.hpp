#pragma once

#include <almondcart/core/instant.hpp>
#include <almondcart/forwarding/spending_report.hpp>
#include <almondcart/forwarding/token_demand.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <optional>

namespace almondcart::forwarding {

enum class reservation_result
{
    granted,
    exhausted,   ///< the prepaid total does not cover the request
    unavailable, ///< tokens are left, but could not be drawn in time
};

/// Reservation that waits for tokens.
struct waiting_request
{
    std::int64_t tokens = 0;
    instant since{};
    instant expires{};
    std::function<void(reservation_result)> done;
    int peer_rounds = 0; ///< in which peers were asked for tokens while this was the first to wait
};

/// Tokens of one client account that this process holds, and the spending limit that it last
/// reported on the log. Invariant: tokens spent and transferred out, minus tokens transferred in,
/// stay within both.
class token_account
{
public:
    /// Tokens that may be spent now, within both the held tokens and the reported limit.
    std::int64_t spendable(instant now) const;

    std::int64_t free_tokens() const { return held_ - spent_ - returning_; }
    std::int64_t held_tokens() const { return held_; }
    std::int64_t spent_tokens() const { return spent_; }

    /// Claimed tokens in the newest record on the log. They differ from the held tokens while a
    /// claim is pending, or after it was rejected and until it is withdrawn.
    std::int64_t claimed_tokens() const { return claimed_; }
    bool is_withdrawal_due() const { return claimed_ != held_; }

    void spend(std::int64_t tokens) { spent_ += tokens; }
    void refund(std::int64_t tokens) { spent_ -= tokens; }

    /// Starts with the tokens that a predecessor may have spent of those it `claimed`. The rest is
    /// released and drawn again: the predecessor's claim may not have been accepted in full, and a
    /// late record of the predecessor may still return tokens.
    void take_over(std::int64_t spent, std::int64_t claimed, instant now);

    /// Whether a report must be written at once, because this process has not written one yet.
    bool is_report_missing() const { return is_report_missing_; }

    /// Begins a write with `report` that returns `returned` tokens.
    void begin_write(spending_report const& report, std::int64_t returned, instant now);

    /// Ends a write that took effect, with `claimed` tokens on the log. The reported limit counts
    /// from `written`, the time on the same clock from which a successor counts.
    void finish_write(std::int64_t claimed, instant written);

    /// Ends a write that did not take effect.
    void cancel_write();

    /// Ends a write of `claimed` tokens that may or may not have taken effect.
    void mark_write_uncertain(std::int64_t claimed);

    /// Marks the claimed tokens as held.
    void accept_claim() { held_ = claimed_; }

    spending_report const& reported() const { return reported_; }

    token_demand demand;
    std::int64_t largest_request = 0;
    instant last_request{};
    std::deque<waiting_request> waiting;
    bool is_asking_peers = false;

private:
    std::int64_t held_ = 0;      ///< by this process, including what predecessors have spent
    std::int64_t spent_ = 0;     ///< of the held tokens, including reservations
    std::int64_t returning_ = 0; ///< in the write in progress
    std::int64_t claimed_ = 0;
    bool is_report_missing_ = false;
    spending_report reported_;
    instant reported_at_{};
    std::optional<spending_report> reporting_; ///< in the write in progress; may be on the log
    instant reporting_since_{};
};

} // namespace almondcart::forwarding
