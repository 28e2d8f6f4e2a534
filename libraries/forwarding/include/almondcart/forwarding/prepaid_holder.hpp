#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/core/random_sequence.hpp>
#include <almondcart/forwarding/draw_writer.hpp>
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

std::string_view name_of(reservation_result result);

struct prepaid_holder_settings
{
    std::string vm;                ///< at most one live process draws under this name
    std::string peer_address;      ///< where this process gives tokens to others
    duration horizon{15'000};      ///< demand that is drawn ahead, to outlast an outage
    duration report_interval{500}; ///< between two writes that no request waits for
    duration stall_timeout{300};   ///< after which a log that does not answer counts as lost
    duration return_interval{500}; ///< between two looks for tokens to give back
    duration clock_error{3000};    ///< by which a wall clock may be set back unnoticed
    duration peer_delay{60};       ///< for which a request waits for the log alone
    duration peer_horizon{2'000};  ///< demand that is asked of peers beyond what waits
    draw_writer_settings writer;
};

/// Tokens that this process has drawn from prepaid totals and may spend.
///
/// A draw is a claim: a record that states how much the owner holds and claims in total. It is held
/// once the sum over all owners, at any position of the log behind the record, is within the
/// prepaid total; otherwise it is withdrawn by the next record. As each owner counts the claims of
/// all others, what is held never passes the total, in whatever order claims arrive. Appends need
/// no knowledge of the log's end, so those of many routers are never in conflict.
///
/// Only the owner of tokens spends them. It reports its spending on the log and keeps to the limit
/// that each report states; the next process on the same VM is charged for what its predecessor
/// may have spent, and draws the rest anew. What a VM that never returns held stays drawn.
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

        /// Prepaid total of an account, nothing if it is not limited.
        total_function total;

        /// A claim is on the log behind the position that is known.
        std::function<void()> on_read_needed;

        /// Asks other routers for tokens, which arrive by `transfer_in`. Returns whether some are
        /// asked; if not, none are to be had. May be empty.
        std::function<bool(token_request const&)> ask_peers;

        /// Tokens of a predecessor that are given up, and those that it may have spent since its
        /// last report.
        std::function<
            void(std::string const& account, std::int64_t given_up, std::int64_t written_off)>
            on_takeover;

        /// End of a claim.
        std::function<void(draw_record const&, bool is_accepted)> on_claim;
    };

    prepaid_holder(prepaid_holder_settings settings, hooks hooks);

    /// Reserves `tokens` and calls `done`, at once if the process holds enough or the log is lost,
    /// or after an append to the log, `patience` from now at the latest.
    void reserve(
        std::string const& account,
        std::int64_t tokens,
        duration patience,
        reservation_callback done);

    /// Ends a reservation of which `used` tokens were consumed.
    void settle(std::string const& account, std::int64_t reserved, std::int64_t used);

    /// Gives tokens to another router. They count as spent here, so that no record is needed: what
    /// this process holds on the log covers them.
    token_transfer transfer_out(token_request const& request);

    /// Takes tokens that another router gave. They pay for what this process has spent.
    void transfer_in(std::string const& account, std::int64_t tokens);

    /// Serves requests that waited for an answer of other routers.
    void finish_peer_round() { serve_waiting(); }

    /// Record of the log, in order. A snapshot is passed in the same way.
    void apply(std::int64_t offset, draw_record const& record);
    void skip(std::int64_t offset);

    /// Tells that all records before `end` have been passed.
    void advance(std::int64_t end);

    /// Draws, reports, gives back and expires waiting requests. To be called often.
    void tick();

    /// From now on gives back all tokens that are free.
    void begin_shutdown();

    /// Whether a write is under way or tokens are still to be given back.
    bool is_busy() const;

    /// Whether another process draws under this VM's name; nothing can be spent then.
    bool is_fenced() const { return writer_.is_fenced(); }

    std::int64_t free_tokens(std::string const& account) const;
    prepaid_ledger const& ledger() const { return ledger_; }

private:
    /// Records on the log whose claims are not decided yet.
    struct claim
    {
        std::vector<draw_record> records;
        std::int64_t end = 0; ///< position behind them
    };

    draw_writer::hooks create_writer_hooks();
    std::int64_t spendable(token_account const& state) const;
    std::int64_t remaining(std::string const& account, token_account const& state) const;
    std::int64_t target_free(std::string const& account, token_account const& state) const;
    std::int64_t wanted_delta(std::string const& account, token_account const& state) const;
    bool is_report_due(token_account const& state) const;
    bool is_log_silent() const;
    duration report_interval() const;
    draw_record
    create_record(std::string const& account, token_account const& state, std::int64_t delta);
    void take_over();
    void take_over(draw_owner const& owner, draw_record const& record);
    void serve_waiting();
    std::optional<reservation_result>
    judge(std::string const& account, token_account const& state, waiting_request const& request);
    bool ask_peers(std::string const& account, token_account const& state) const;
    void write();
    void
    finish_write(write_outcome end, std::vector<draw_record> const& records, std::int64_t offset);
    void begin_claim(std::vector<draw_record> const& records, std::int64_t offset);
    void decide_claim();
    bool fits(draw_record const& record) const;

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
