#pragma once

#include <almondcart/budget/budget_account.hpp>
#include <almondcart/budget/grant_sizing.hpp>
#include <almondcart/budget/reservation.hpp>
#include <almondcart/budget/transfer_id.hpp>
#include <almondcart/core/clock.hpp>
#include <almondcart/core/event_journal.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/ledger/budget_shard_state.hpp>

#include <absl/status/statusor.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace almondcart {

struct budget_holder_settings
{
    process_id self;
    duration flush_interval{100};    ///< of the log client
    duration log_read_timeout{1000}; ///< without a read response, the fold counts as not current
    duration bypass_limit{500};      ///< smaller requests pass a waiting larger one for this long
    duration sizing_interval{500};   ///< between two looks at the sizes of all grants
    duration recovery_patience{30'000}; ///< tokens of a closed grant may come back for this long
    duration abandon_limit{60'000}; ///< then the grant of an abandoned attempt is to be recovered
};

/// Why and how much this router lacks for its queued reservations of one budget.
struct token_shortage
{
    budget_id budget;
    token_count missing = 0;
    std::int64_t own_demand = 0;  ///< worst-case tokens per second
    bool should_ask = false;      ///< the log cannot help, or has not responded in time
    bool is_log_definite = false; ///< the log is current and has nothing more for this budget
};

/// The budget tokens that one router process holds: granted by the log or transferred from peers,
/// reserved for attempts, settled to actual use, given away, returned.
///
/// Owned by one event loop. Every folded record of a budget shard is passed to `record_applied`
/// after the fold applied it; `state_restored` replaces that when records were skipped (checkpoint
/// or peer snapshot). `tick` is called at least once per flush interval.
///
/// A token is under exactly one holder at any time: it is debited here for good before it is
/// returned or transferred, and credited once.
class budget_holder
{
public:
    using reserve_callback = std::function<void(absl::StatusOr<reservation>)>;

    struct hooks
    {
        clock_function now;
        /// Appends a record and keeps trying until it is on the log; returns its sequence.
        std::function<std::int64_t(record_body)> submit;
        /// Fold of a shard, or null while it is not loaded.
        std::function<budget_shard_state const*(int)> shard_state;
        /// When the last successful read of the log was sent.
        std::function<instant()> log_read_at;
        /// Live routers without this one.
        std::function<std::vector<process_id>()> live_peers;
        /// The request's usage is on the log: the agent may forget it. May be empty.
        std::function<void(request_id const&)> usage_billed;
        /// Event for the time line. May be empty.
        std::function<void(event)> record_event;
    };

    budget_holder(budget_holder_settings settings, hooks hooks);

    /// Sets aside `worst_case` tokens for one attempt. Calls back once: with the reservation as
    /// soon as the tokens are there, or with `budget_exhausted`, `budget_unavailable` (deadline
    /// passed while the log or a peer did not respond), `unknown_budget` or `shutting_down`.
    void reserve(
        request_id const& request,
        int attempt,
        budget_id const& budget,
        token_count worst_case,
        instant deadline,
        reserve_callback callback);

    /// Removes a queued reservation without calling back. False if it is not queued.
    bool cancel(request_id const& request, int attempt);

    /// Reservation to dispatch with now. Its parts differ from those of the callback if a grant was
    /// closed in between. Error `grant_closed`: reserve again.
    absl::StatusOr<reservation> dispatch(request_id const& request, int attempt);

    /// The attempt finished and used `actual` tokens. Returns the usage, which this holder submits
    /// until the fold shows it. The rest of the reservation is free again.
    usage_item settle(reservation const& value, token_count actual);

    /// The attempt is proved not to have run and not to run later: the tokens are free again.
    void release(reservation const& value);

    /// The attempt's fate is unknown: its tokens stay charged until usage is seen, `release` or
    /// `settle` follows, or its grants are recovered.
    void abandon(reservation const& value);

    /// An agent refused work under `grant` because it is closed, which this fold may not show yet.
    void grant_refused(budget_id const& budget, grant_id const& grant);

    /// Debits up to `tokens` for a peer, for good. Repeats of one transfer return the same parts.
    /// Error `budget_unavailable`: nothing to give now, but tokens are on their way or needed for
    /// requests waiting here; the peer should ask again before it refuses a caller.
    absl::StatusOr<std::vector<grant_part>>
    transfer_out(transfer_id const& transfer, budget_id const& budget, token_count tokens);

    /// Opens a transfer to this router. It stays open until `transfer_in` or `forget_transfer`.
    transfer_id create_transfer(budget_id const& budget);

    /// Credits the parts of an open transfer. Repeats and forgotten transfers are ignored. Returns
    /// the tokens credited.
    token_count transfer_in(transfer_id const& transfer, std::vector<grant_part> const& parts);

    /// The peer is gone: a later response is ignored.
    void forget_transfer(transfer_id const& transfer);

    /// Refuses the reservations that were queued at or before `asked_at` and still do not fit, with
    /// `budget_exhausted`.
    void conclude_exhausted(budget_id const& budget, instant asked_at);

    void record_applied(stored_record const& record, budget_shard_state const& state);
    void state_restored(budget_shard_state const& state);
    void tick();

    /// Refuses new reservations and returns free tokens from now on.
    void begin_shutdown();

    /// After `begin_shutdown`: nothing reserved, all usage and returns seen in the fold.
    bool is_drained() const;

    /// Budgets with queued reservations that do not fit.
    std::vector<token_shortage> shortages() const;

    /// Open grants with tokens whose fate only agents can tell: own ones transferred to routers
    /// that are gone, and those under which an attempt was abandoned for longer than
    /// `abandon_limit`.
    std::vector<grant_id> stranded_grants() const;

    /// Free tokens that could be returned on the log now.
    token_count returnable(budget_id const& budget) const;

    /// Tokens this router gave to peers since its start; lets a broker see movement.
    token_count transferred_out_total() const { return transferred_out_total_; }

    /// Whether this holder already submits usage of the request, so that an agent's report of it
    /// need not be appended.
    bool has_pending_usage(request_id const& request) const;

    std::size_t waiting_count() const;
    budget_account const* find_account(budget_id const& budget) const;
    process_id const& self() const { return settings_.self; }

private:
    enum class attempt_state
    {
        granted,
        lost, ///< its grant closed before dispatch and no other tokens were free
        dispatched,
        abandoned,
        settled,
    };

    struct attempt_entry
    {
        reservation value;
        attempt_state state = attempt_state::granted;
        instant changed_at{};
        usage_item usage;
        std::int64_t usage_sequence = -1; ///< -1 until submitted
        bool is_billed_elsewhere = false; ///< by another attempt: usage of this one is not billed
    };

    struct waiting_entry
    {
        request_id request;
        int attempt = 1;
        token_count worst_case = 0;
        instant queued_at{};
        instant deadline{};
        reserve_callback callback;
    };

    struct budget_entry_state
    {
        explicit budget_entry_state(budget_id id)
            : account(std::move(id))
        {}

        budget_account account;
        std::deque<waiting_entry> waiting;
        std::int64_t draw_sequence = -1; ///< of the draw in flight, -1 if none
        instant drawn_at{};
        instant moved_at{};                    ///< last draw or return
        std::map<grant_id, instant> closed_at; ///< recently closed grants of any holder
        std::map<process_id, std::pair<std::int64_t, std::vector<grant_part>>> given;
    };

    using attempt_key = std::pair<request_id, int>;

    budget_entry_state& entry_of(budget_id const& id);
    budget_entry_state* find_entry(budget_id const& id);
    budget_entry const* folded(budget_id const& id) const;

    void serve(budget_entry_state& it);
    void grant_waiting(budget_entry_state& it, std::deque<waiting_entry>::iterator const& position);
    void refuse(waiting_entry& waiting, result_code code, std::string_view detail);
    void expire_waiting(budget_entry_state& it, instant now);
    void deliver();

    void update_flights(budget_entry_state& it, budget_shard_state const& state);
    void size_grants(budget_entry_state& it, instant now);
    void draw(budget_entry_state& it, sizing_policy const& policy, sizing_input const& input);
    void give_back(budget_entry_state& it, token_count tokens);
    sizing_input sizing_input_of(budget_entry_state const& it, budget_entry const& entry) const;
    bool is_log_current() const;
    bool is_returning(budget_id const& budget) const;
    bool is_log_definite(budget_entry_state const& it) const;

    void close_locally(budget_entry_state& it, grant_id const& grant);
    void check_grants(budget_entry_state& it, budget_shard_state const& state);
    void close_folded(grant_id const& id, budget_shard_state const& state);
    void grant_ended(grant_id const& id, account_id const& account);
    void credit_own_grant(grant_entry const& grant);
    void drop_recovered_attempts(budget_shard_state const& state);
    void usage_folded(usage_record const& usage, std::int64_t offset, budget_shard_state const&);
    std::map<attempt_key, attempt_entry>::iterator find_billed_attempt(usage_item const& item);
    void item_billed(usage_item const& item);
    void free_duplicates(request_id const& request);
    void submit_usage();
    void check_refused_usage(budget_shard_state const& state);
    void end_usage_flight(
        std::map<std::int64_t, std::vector<attempt_key>>::iterator flight,
        budget_shard_state const& state);
    void remove_attempt(std::map<attempt_key, attempt_entry>::iterator it);
    void note(std::string name, budget_id const& budget, std::string detail) const;

    budget_holder_settings settings_;
    hooks hooks_;
    std::map<budget_id, budget_entry_state> entries_;
    std::map<attempt_key, attempt_entry> attempts_;
    std::set<attempt_key> undispatched_; ///< granted or lost
    std::set<attempt_key> abandoned_;
    std::set<attempt_key> unsubmitted_;
    std::map<std::int64_t, std::vector<attempt_key>> usage_in_flight_; ///< by sequence
    std::set<budget_id> with_waiting_;
    std::map<std::int64_t, budget_id> returns_in_flight_; ///< by sequence
    std::map<transfer_id, budget_id> open_transfers_;
    std::set<grant_id> credited_grants_; ///< own grants that are open in the fold
    std::int64_t next_transfer_ = 1;
    token_count transferred_out_total_ = 0;
    instant sized_at_{};
    bool is_shutting_down_ = false;
    bool is_delivering_ = false;
    std::deque<std::function<void()>> deliveries_;
};

} // namespace almondcart
