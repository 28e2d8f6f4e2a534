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
    duration log_read_timeout{1000}; ///< without a read response, the folded state counts as stale
    duration bypass_window{500};     ///< how long smaller requests may overtake a larger one
    duration sizing_interval{500};   ///< between two passes that resize all grants
    duration recovery_timeout{30'000}; ///< grants closed for longer are not expected to free tokens
    duration abandon_timeout{60'000};  ///< grants of attempts abandoned for longer are recovered
};

/// Tokens that this router lacks for its queued reservations of one budget, and where it may get
/// them.
struct token_shortage
{
    budget_id budget;
    token_count missing = 0;
    std::int64_t own_demand = 0;   ///< worst-case tokens per second
    bool should_ask_peers = false; ///< the log has too few tokens or is late to respond
    bool is_log_exhausted = false; ///< the state is current and no grant can free more tokens
};

/// Manages the budget tokens of one router process. Tokens are drawn from the log or transferred
/// from peers, reserved for attempts, and then billed, freed, transferred to peers or returned.
///
/// Owned by one event loop. The owner calls `record_applied` after each record that it applied to a
/// budget shard's state, `state_restored` after it replaced the state by a checkpoint or a peer's
/// snapshot, and `tick` at least once per flush interval.
///
/// No token has two holders at the same time: a holder debits it irrevocably before it returns or
/// transfers it, and the receiver credits it once.
class budget_holder
{
public:
    using reserve_callback = std::function<void(absl::StatusOr<reservation>)>;

    struct hooks
    {
        clock_function now;
        /// Queues a record, which is retried until it is on the log. Returns its sequence.
        std::function<std::int64_t(record_body)> submit;
        /// Folded state of a shard, or null while it is not loaded.
        std::function<budget_shard_state const*(int)> shard_state;
        /// When the last successful read of the log was sent.
        std::function<instant()> log_read_at;
        /// Live routers, excluding this one.
        std::function<std::vector<process_id>()> live_peers;
        /// Called when the request's usage is on the log and the agent may discard it. May be
        /// empty.
        std::function<void(request_id const&)> usage_billed;
        /// Records an event for the timeline. May be empty.
        std::function<void(event)> record_event;
    };

    budget_holder(budget_holder_settings settings, hooks hooks);

    /// Reserves `worst_case` tokens for one attempt. Calls back once: with the reservation as soon
    /// as enough tokens are free, or with `budget_exhausted`, `budget_unavailable` (the deadline
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

    /// Marks the attempt as dispatched and returns its reservation. The parts differ from those
    /// passed to the callback if a grant was closed in between. On `grant_closed` the caller must
    /// reserve again.
    absl::StatusOr<reservation> dispatch(request_id const& request, int attempt);

    /// Ends an attempt that used `actual` tokens and frees the rest of its reservation. Returns the
    /// usage, which this holder submits to the log.
    usage_item settle(reservation const& value, token_count actual);

    /// Frees the tokens of an attempt that provably did not run and cannot run later.
    void release(reservation const& value);

    /// Marks an attempt whose outcome is unknown. Its tokens stay reserved until its usage is
    /// billed, `release` or `settle` is called, or its grants are recovered.
    void abandon(reservation const& value);

    /// Closes `grant` locally after an agent refused work under it. The agent may know of the close
    /// before this router has read the close record.
    void grant_refused(budget_id const& budget, grant_id const& grant);

    /// Irrevocably debits up to `tokens` for a peer. Repeats of one transfer return the same parts.
    /// `budget_unavailable` means that nothing is free now, but a draw or return is in flight or
    /// requests queued here come first. The peer should ask again before it refuses a client.
    absl::StatusOr<std::vector<grant_part>>
    transfer_out(transfer_id const& transfer, budget_id const& budget, token_count tokens);

    /// Opens a transfer to this router, which `transfer_in` or `forget_transfer` ends.
    transfer_id create_transfer(budget_id const& budget);

    /// Credits the parts of an open transfer and returns the number of credited tokens. Repeats and
    /// forgotten transfers are ignored.
    token_count transfer_in(transfer_id const& transfer, std::vector<grant_part> const& parts);

    /// Ends a transfer from a peer that is gone. A later response is ignored.
    void forget_transfer(transfer_id const& transfer);

    /// Refuses the reservations that were queued at or before `queued_before` and still do not fit,
    /// with `budget_exhausted`.
    void refuse_exhausted(budget_id const& budget, instant queued_before);

    void record_applied(stored_record const& record, budget_shard_state const& state);
    void state_restored(budget_shard_state const& state);
    void tick();

    /// From now on refuses new reservations and returns free tokens to the log.
    void begin_shutdown();

    /// Whether, after `begin_shutdown`, only abandoned attempts are left and all draws, usage and
    /// returns are folded.
    bool is_drained() const;

    /// Budgets with queued reservations that do not fit.
    std::vector<token_shortage> shortages() const;

    /// Open grants that only the agents' reports can resolve: own ones with tokens transferred to
    /// routers that are gone, and those with an attempt that was abandoned for longer than
    /// `abandon_timeout`.
    std::vector<grant_id> stranded_grants() const;

    /// Free tokens that could be returned on the log now.
    token_count returnable(budget_id const& budget) const;

    /// Tokens transferred to peers since the start. The broker compares it over a round.
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
        lost, ///< its grant was closed before dispatch and no other tokens were free
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
        bool is_billed_elsewhere = false; ///< another attempt was billed, so this one is not
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

    /// Tokens that this router holds of one budget, and the reservations that wait for more.
    struct held_budget
    {
        explicit held_budget(budget_id id)
            : account(std::move(id))
        {}

        budget_account account;
        std::deque<waiting_entry> waiting;
        std::int64_t draw_sequence = -1; ///< of the grant record in flight, -1 if none
        instant drawn_at{};
        instant moved_at{};                    ///< last draw or return
        std::map<grant_id, instant> closed_at; ///< recently closed grants of any holder
        std::map<process_id, std::pair<std::int64_t, std::vector<grant_part>>>
            last_transfers; ///< newest transfer to each receiver: its number and parts
    };

    using attempt_key = std::pair<request_id, int>;

    held_budget& held_budget_of(budget_id const& id);
    held_budget* find_held_budget(budget_id const& id);
    budget_entry const* find_folded_budget(budget_id const& id) const;

    void serve_queue(held_budget& held);
    void grant_waiting(held_budget& held, std::deque<waiting_entry>::iterator const& position);
    void refuse(waiting_entry& waiting, result_code code, std::string_view detail);
    void expire_waiting(held_budget& held, instant now);
    void deliver();

    void clear_applied_draw(held_budget& held, budget_shard_state const& state);
    void size_grants(held_budget& held, instant now);
    void draw(held_budget& held, sizing_policy const& policy, sizing_input const& input);
    void return_tokens(held_budget& held, token_count tokens);
    sizing_input sizing_input_of(held_budget const& held, budget_entry const& entry) const;
    bool is_log_current() const;
    bool is_returning(budget_id const& budget) const;
    bool is_log_exhausted(held_budget const& held) const;

    void close_locally(held_budget& held, grant_id const& grant);
    void close_ended_grants(held_budget& held, budget_shard_state const& state);
    void on_grant_closed(grant_id const& id, budget_shard_state const& state);
    void on_grant_ended(grant_id const& id, account_id const& account);
    void credit_own_grant(grant_entry const& grant);
    void drop_recovered_attempts(budget_shard_state const& state);
    void
    on_usage_applied(usage_record const& usage, std::int64_t offset, budget_shard_state const&);
    std::map<attempt_key, attempt_entry>::iterator find_billed_attempt(usage_item const& item);
    void on_item_billed(usage_item const& item);
    void free_duplicates(request_id const& request);
    void submit_usage();
    void finish_applied_usage(budget_shard_state const& state);
    void finish_usage_record(
        std::map<std::int64_t, std::vector<attempt_key>>::iterator flight,
        budget_shard_state const& state);
    void remove_attempt(std::map<attempt_key, attempt_entry>::iterator it);
    void report_event(std::string name, budget_id const& budget, std::string detail) const;

    budget_holder_settings settings_;
    hooks hooks_;
    std::map<budget_id, held_budget> held_budgets_;
    std::map<attempt_key, attempt_entry> attempts_;
    std::set<attempt_key> undispatched_; ///< granted or lost
    std::set<attempt_key> abandoned_;
    std::set<attempt_key> unsubmitted_;
    std::map<std::int64_t, std::vector<attempt_key>> usage_in_flight_; ///< by sequence
    std::set<budget_id> with_waiting_;
    std::map<std::int64_t, budget_id> returns_in_flight_; ///< by sequence
    std::map<transfer_id, budget_id> open_transfers_;
    std::set<grant_id> credited_grants_; ///< own grants that were credited and have not ended
    std::int64_t next_transfer_ = 1;
    token_count transferred_out_total_ = 0;
    instant sized_at_{};
    bool is_shutting_down_ = false;
    bool is_delivering_ = false;
    std::deque<std::function<void()>> deliveries_;
};

} // namespace almondcart
