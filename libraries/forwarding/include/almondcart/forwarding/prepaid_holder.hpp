#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/forwarding/prepaid_ledger.hpp>

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
    std::string vm;
    std::string writer;           ///< names this start of the process
    duration horizon{15'000};     ///< demand that is drawn ahead, to outlast an outage of the log
    duration demand_window{2000}; ///< time constant of the demand estimate
    duration draw_interval{500};  ///< between two draws that no request waits for
    duration silence_limit{300};  ///< after which a log that does not answer counts as lost
    duration retry_interval{50};  ///< after a conflict or a refusal
    duration unknown_interval{400}; ///< before an append without an answer is sent again
    duration return_interval{500};  ///< between two looks for tokens to give back
};

/// Tokens that this process has drawn from prepaid totals and may spend. Only the process that drew
/// tokens spends them, so neither clocks nor the state of other processes matter for safety. Tokens
/// held by a process that dies stay drawn; draws shrink with the rest of a total to keep that small.
class prepaid_holder
{
public:
    using append_function = std::function<void(
        std::int64_t at,
        std::vector<draw_record> const& records,
        std::function<void(append_outcome)> done)>;
    using total_function = std::function<std::optional<std::int64_t>(std::string const& account)>;
    using reservation_callback = std::function<void(reservation)>;

    /// `total` returns the prepaid total of an account, nothing if it is not limited.
    prepaid_holder(
        clock_function clock,
        prepaid_holder_settings settings,
        append_function append,
        total_function total);

    /// Reserves `tokens` and calls `done`, at once if the process holds enough or the log is lost, or
    /// after a draw on the log, `patience` from now at the latest.
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

    /// Draws, gives back and expires waiting requests. To be called often.
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
        std::int64_t free_tokens = 0;
        double demand_per_s = 0;
        double window_tokens = 0; ///< requested since the estimate was last updated
        instant updated{};
        std::deque<waiting_request> waiting;
    };

    struct pending_append
    {
        std::int64_t at = 0;
        std::uint64_t sequence = 0;
        std::vector<draw_record> records;
        std::map<std::string, std::int64_t> deltas; ///< tokens by account, negative if given back
        instant first_sent{};
        bool is_in_flight = false;
        bool is_unknown = false;
    };

    std::int64_t remaining(std::string const& account) const;
    std::int64_t target_free(std::string const& account, account_state const& state) const;
    std::int64_t wanted_delta(std::string const& account, account_state const& state) const;
    bool is_log_silent() const;
    void update_demand(account_state& state);
    void serve_waiting();
    void start_append();
    void send();
    void finish_append(std::uint64_t sequence, append_outcome outcome);
    void resolve();
    void conclude(bool is_applied);

    clock_function clock_;
    prepaid_holder_settings settings_;
    append_function append_;
    total_function total_;
    prepaid_ledger ledger_;
    std::map<std::string, account_state> accounts_;
    std::optional<pending_append> pending_;
    std::uint64_t next_sequence_ = 1;
    instant next_attempt_{};
    instant next_return_{};
    instant next_draw_{};
    bool is_return_due_ = false;
    bool is_draw_due_ = false;
    bool is_stopping_ = false;
    bool is_serving_ = false;
};

} // namespace almondcart::forwarding
