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
    unavailable, ///< tokens are left, but they could not be had in time
};

/// Request that waits for tokens.
struct waiting_request
{
    std::int64_t tokens = 0;
    instant since{};
    instant expires{};
    std::function<void(reservation_result)> done;
};

/// Tokens of one client account that this process holds, and the spending limit that it has stated
/// on the log. Invariant: what it spends and gives away, less what it receives, stays within both.
class token_account
{
public:
    /// Tokens that may be spent now: not spent yet, and within the stated limit.
    std::int64_t spendable(instant now) const;

    std::int64_t free_tokens() const { return held_ - spent_ - returning_; }
    std::int64_t held_tokens() const { return held_; }
    std::int64_t spent_tokens() const { return spent_; }

    /// What the newest record on the log states as claimed. Where it is more than what is held, a
    /// claim was turned down and is still to be withdrawn.
    std::int64_t claimed_tokens() const { return claimed_; }
    bool is_withdrawal_due() const { return claimed_ != held_; }

    void spend(std::int64_t tokens) { spent_ += tokens; }
    void refund(std::int64_t tokens) { spent_ -= tokens; }

    /// Starts with what a predecessor may have spent of what it `claimed`. The rest is given up and
    /// drawn anew: the predecessor may not have held all of its claim, and a record of it that is
    /// still under way may give tokens back.
    void take_over(std::int64_t spent, std::int64_t claimed, instant now);

    /// Whether a report is to be written at once, because there is none of this process.
    bool is_report_missing() const { return is_report_missing_; }

    /// A write with `report` begins, which gives back `returned` tokens.
    void begin_write(spending_report const& report, std::int64_t returned, instant now);

    /// The write took effect; the log then states `claimed` tokens. A successor counts from
    /// `written`, on the same clock.
    void finish_write(std::int64_t claimed, instant written);

    /// The write did not take effect.
    void cancel_write();

    /// It is not known whether the write, which stated `claimed` tokens, took effect.
    void mark_write_uncertain(std::int64_t claimed);

    /// The claim is held from now on.
    void accept_claim() { held_ = claimed_; }

    spending_report const& reported() const { return reported_; }

    token_demand demand;
    std::int64_t largest_request = 0;
    std::deque<waiting_request> waiting;

private:
    std::int64_t held_ = 0;      ///< by this process and its predecessors
    std::int64_t spent_ = 0;     ///< of them, with what running requests may consume
    std::int64_t returning_ = 0; ///< in a write under way
    std::int64_t claimed_ = 0;
    bool is_report_missing_ = false;
    spending_report reported_;
    instant reported_at_{};
    std::optional<spending_report> reporting_; ///< in a write under way; it may be on the log
    instant reporting_since_{};
};

} // namespace almondcart::forwarding
