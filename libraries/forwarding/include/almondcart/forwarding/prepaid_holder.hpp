#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/forwarding/prepaid_ledger.hpp>

#include <algorithm>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace almondcart::forwarding {

/// Result of an append that requires the log to end at a given offset.
enum class append_outcome
{
    appended,
    conflict, ///< the log ends elsewhere; nothing was appended
    rejected, ///< the log refused the call; nothing was appended
    unknown,  ///< no answer; the records may be on the log, or get there later at that offset
};

enum class reservation
{
    granted,
    exhausted,   ///< the prepaid total does not cover the request
    unavailable, ///< tokens are left, but the log could not be reached in time
};

std::string_view name_of(reservation result);

struct prepaid_holder_settings
{
    std::string vm;               ///< at most one live process draws under this name
    std::string writer;           ///< names this start of the process
    duration horizon{15'000};     ///< demand that is drawn ahead, to outlast an outage of the log
    duration demand_window{2000}; ///< time constant of the estimate that follows bursts
    duration long_demand_window{10'000}; ///< of the one that bridges pauses between requests
    duration report_interval{400};       ///< between two appends that no request waits for
    duration silence_limit{300};         ///< after which a log that does not answer counts as lost
    duration retry_interval{50};         ///< after a conflict or a refusal
    duration unknown_interval{400}; ///< before an append whose connection was lost is sent again
    duration answer_limit{120};     ///< after which an append is sent again; longer for a slow log
    duration return_interval{500};  ///< between two looks for tokens to give back
    duration clock_error{3000};     ///< by which a wall clock may be set back unnoticed
};

/// Tokens that this process has drawn from prepaid totals and may spend. Only the process that drew
/// tokens spends them. It reports its spending on the log and keeps to the limit that each report
/// states; the next process on the same VM takes over what its predecessor cannot have spent. What
/// a VM that never returns held stays drawn.
class prepaid_holder
{
public:
    using append_function = std::function<void(
        std::int64_t at,
        std::vector<draw_record> const& records,
        std::function<void(append_outcome)> done)>;
    using total_function = std::function<std::optional<std::int64_t>(std::string const& account)>;
    using reservation_callback = std::function<void(reservation)>;

    struct hooks
    {
        clock_function clock; ///< boot clock
        std::function<std::int64_t()> wall_time_ms;
        append_function append;

        /// Prepaid total of an account, nothing if it is not limited.
        total_function total;

        /// Tokens of a predecessor that were taken over, and those that it may have spent.
        std::function<
            void(std::string const& account, std::int64_t taken_over, std::int64_t written_off)>
            on_takeover;
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

    /// Record of the log, in order. A snapshot is passed in the same way.
    void apply(std::int64_t offset, draw_record const& record);
    void skip(std::int64_t offset);

    /// Tells that all records before `end` have been passed.
    void advance(std::int64_t end);

    /// Draws, reports, gives back and expires waiting requests. To be called often.
    void tick();

    /// From now on gives back all tokens that are free.
    void begin_shutdown();

    /// Whether an append is under way or tokens are still to be given back.
    bool is_busy() const;

    std::int64_t free_tokens(std::string const& account) const;
    prepaid_ledger const& ledger() const { return ledger_; }

private:
    struct waiting_request
    {
        std::int64_t tokens;
        instant expires;
        reservation_callback done;
    };

    struct account_state
    {
        std::int64_t drawn_tokens = 0;     ///< by this process and its predecessors
        std::int64_t spent_tokens = 0;     ///< of them, with what running requests may consume
        std::int64_t returning_tokens = 0; ///< in an append under way
        double recent_demand_per_s = 0;
        double long_demand_per_s = 0;
        double window_tokens = 0; ///< requested since the estimate was last updated
        std::int64_t largest_request = 0;
        instant updated{};
        spending_report reported;
        instant reported_at{}; ///< when the report was written
        /// Report in an append under way; it may be on the log already.
        std::optional<spending_report> reporting;
        instant reporting_since{};
        std::deque<waiting_request> waiting;

        double demand_per_s() const { return std::max(recent_demand_per_s, long_demand_per_s); }

        std::int64_t free_tokens() const { return drawn_tokens - spent_tokens - returning_tokens; }
    };

    struct pending_append
    {
        std::int64_t at = 0;
        std::uint64_t sequence = 0;
        std::vector<draw_record> records;
        instant first_sent{};
        instant last_sent{};
        int sent_count = 0;
        bool is_in_flight = false;
        bool is_unknown = false;
    };

    std::int64_t remaining(std::string const& account) const;
    std::int64_t spendable(account_state const& state) const;
    std::int64_t target_free(std::string const& account, account_state const& state) const;
    std::int64_t wanted_delta(std::string const& account, account_state const& state) const;
    bool is_report_due(account_state const& state) const;
    draw_record create_record(std::string const& account, account_state& state, std::int64_t delta);
    bool is_log_silent() const;
    duration report_interval() const;
    void check_answer();
    duration conflict_pause();
    void take_over();
    void update_demand(account_state& state);
    void serve_waiting();
    void start_append();
    void send();
    void finish_append(std::uint64_t sequence, append_outcome outcome);
    void resolve();
    void conclude(bool is_applied);
    void acknowledge(draw_record const& record);

    prepaid_holder_settings settings_;
    hooks hooks_;
    std::uint64_t random_;
    prepaid_ledger ledger_;
    std::map<std::string, account_state> accounts_;
    std::optional<pending_append> pending_;
    std::uint64_t next_sequence_ = 1;
    instant started_;
    std::int64_t started_wall_ms_;
    duration append_time_{0}; ///< smoothed, from an append to its answer
    instant next_attempt_{};
    std::optional<std::int64_t> conflict_at_; ///< where the last append was in conflict
    instant next_return_{};
    instant next_report_{};
    bool is_synced_ = false;
    bool is_return_due_ = false;
    bool is_report_time_ = false;
    bool is_stopping_ = false;
    bool is_serving_ = false;
};

} // namespace almondcart::forwarding
