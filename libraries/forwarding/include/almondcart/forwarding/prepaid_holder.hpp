#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/core/random_sequence.hpp>
#include <almondcart/forwarding/account_outlook.hpp>
#include <almondcart/forwarding/draw_record.hpp>
#include <almondcart/forwarding/log_writer.hpp>
#include <almondcart/forwarding/prepaid_ledger.hpp>
#include <almondcart/forwarding/token_account.hpp>
#include <almondcart/forwarding/token_transfer_client.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondcart::forwarding {

using draw_writer = log_writer<draw_record>;
using draw_append = log_append<draw_record>;

std::string_view name_of(reservation_result result);

struct prepaid_holder_settings
{
    std::string vm;                ///< at most one live process draws under this name
    std::string peer_address;      ///< where this process serves token transfers
    duration horizon{15'000};      ///< demand to draw ahead, to outlast a log outage
    duration report_interval{500}; ///< between two writes that no request waits for
    duration stall_timeout{300};   ///< before an unresponsive log counts as unavailable
    duration return_interval{500}; ///< between two checks for tokens to return
    duration clock_error{3000};    ///< largest backward step of the wall clock to tolerate
    duration peer_delay{60};       ///< wait for the log before peers are asked for tokens
    duration peer_horizon{2'000};  ///< demand requested from peers in addition to waiting requests
    duration idle_time{1'000};     ///< without a request for an account before it counts as idle
    int peer_rounds = 2;           ///< in which peers are asked on behalf of one request
    log_writer_settings writer;
};

/// Draws tokens from the prepaid totals of client accounts and tracks what this process may spend.
///
/// A draw is a claim: a record with the sum of what the owner holds and what it claims. The claim
/// is accepted once the sum over all owners, at any log position after the record, is within the
/// prepaid total; otherwise the owner's next record withdraws it. Because each owner counts the
/// claims of all others, the tokens held never exceed the total, in whatever order claims arrive.
/// Appends do not depend on the end of the log, so the appends of many gateways never conflict.
///
/// Only the owner spends its tokens. It reports its spending on the log and stays within the limit
/// that each report states. The next process on the same VM is charged for what its predecessor
/// may have spent and draws the rest again. The tokens of a VM that never returns stay drawn.
class prepaid_holder
{
public:
    using total_function = std::function<std::optional<std::int64_t>(std::string const& account)>;
    using reservation_callback = std::function<void(reservation_result)>;

    struct hooks
    {
        clock_function clock; ///< boot clock
        std::function<std::int64_t()> wall_time_ms;
        draw_writer::append_function append;

        /// Returns the prepaid total of an account, or nothing if the account is unlimited.
        total_function total;

        /// Called when a claim is on the log beyond the position read so far.
        std::function<void()> on_read_needed;

        /// Requests tokens from other gateways, which arrive through `transfer_in`. Returns false
        /// if no gateway is known to have any. May be empty.
        std::function<bool(token_request const&)> ask_peers;

        /// Called with the tokens of a predecessor that are released (`given_up`) and those that it
        /// may have spent since its last report (`written_off`).
        std::function<
            void(std::string const& account, std::int64_t given_up, std::int64_t written_off)>
            on_takeover;

        /// Called when a claim was accepted or rejected.
        std::function<void(draw_record const&, bool is_accepted)> on_claim;
    };

    prepaid_holder(prepaid_holder_settings settings, hooks hooks);

    /// Reserves `tokens` and calls `done`. The call is immediate if the process holds enough tokens
    /// or the log is unavailable; otherwise it follows an append, at most `timeout` from now.
    void reserve(
        std::string const& account,
        std::int64_t tokens,
        duration timeout,
        reservation_callback done);

    /// Ends a reservation of `reserved` tokens and releases those that were not used.
    void settle(std::string const& account, std::int64_t reserved, std::int64_t used);

    /// Transfers tokens to another gateway. They count as spent here, so no record is needed: the
    /// tokens that this process holds on the log cover them.
    token_transfer transfer_out(token_request const& request);

    /// Receives tokens from another gateway. They offset tokens that this process has spent.
    void transfer_in(std::string const& account, std::int64_t tokens);

    /// Ends a round of requests to other gateways and serves requests that waited for it.
    void finish_peer_round(std::string const& account);

    /// Applies a record. Records of the log, or of a snapshot, must be passed in log order.
    void apply(std::int64_t offset, draw_record const& record);

    /// Skips a record that is not a draw record.
    void skip(std::int64_t offset);

    /// Marks all records before `end` as passed.
    void advance(std::int64_t end);

    /// Draws, reports and returns tokens and expires waiting requests. Must be called periodically.
    void tick();

    /// Starts to return all free tokens.
    void begin_shutdown();

    /// Whether a write is in progress or tokens remain to be returned.
    bool is_busy() const;

    /// Whether another process draws under this VM's name. No tokens can be spent then.
    bool is_fenced() const { return writer_.is_fenced(); }

    std::int64_t free_tokens(std::string const& account) const;

    /// Free tokens that the limit of the last report allows to spend now.
    std::int64_t spendable_tokens(std::string const& account) const;

    /// Tokens per second that clients request here.
    std::int64_t demand_per_s(std::string const& account) const;
    prepaid_ledger const& ledger() const { return ledger_; }

private:
    /// Records on the log whose claims are neither accepted nor rejected yet.
    struct claim
    {
        std::vector<draw_record> records;
        std::int64_t end = 0; ///< offset after the last record
    };

    draw_writer::hooks create_writer_hooks();
    std::int64_t spendable(token_account const& state) const;
    std::int64_t remaining(std::string const& account, token_account const& state) const;

    /// Tokens of the total that no process has reported as spent, whoever holds them, less the
    /// last few, which are scattered over the gateways.
    std::int64_t unspent(std::string const& account, token_account const& state) const;
    account_outlook outlook(std::string const& account, token_account const& state) const;
    std::int64_t compute_delta(std::string const& account, token_account const& state) const;
    bool is_idle(token_account const& state) const;
    bool is_report_due(token_account const& state) const;
    bool is_log_stalled() const;
    duration report_interval() const;
    draw_record
    create_record(std::string const& account, token_account const& state, std::int64_t delta);
    void take_over();
    void take_over(draw_owner const& owner, draw_record const& record);
    void serve_waiting();
    std::optional<reservation_result>
    try_resolve(std::string const& account, token_account& state, waiting_request& request);

    /// Whether peers are being asked for tokens on behalf of `request`, from now on if need be.
    bool ask_peers(std::string const& account, token_account& state, waiting_request& request);
    void write();
    void finish_write(
        write_outcome outcome,
        std::vector<draw_record> const& records,
        std::int64_t offset);
    void start_claim(std::vector<draw_record> const& records, std::int64_t offset);
    void resolve_claim();
    bool is_within_total(draw_record const& record) const;

    prepaid_holder_settings settings_;
    hooks hooks_;
    random_sequence random_;
    draw_writer writer_;
    prepaid_ledger ledger_;
    std::map<std::string, token_account> accounts_;
    std::optional<claim> claim_;
    instant claim_since_{};
    instant started_;
    std::int64_t started_wall_ms_;
    instant next_write_{};
    instant next_return_{};
    instant next_report_{};
    bool is_synced_ = false;
    bool is_return_due_ = false;
    bool is_report_time_ = false;
    bool is_stopping_ = false;
    bool is_serving_ = false;
};

} // namespace almondcart::forwarding
