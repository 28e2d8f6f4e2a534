#pragma once

#include <almondcart/budget/budget_holder.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace almondcart {

struct transfer_broker_settings
{
    duration response_timeout{200};  ///< after which a peer counts as unresponsive in the round
    duration retry_interval{50};     ///< after a round in which no tokens moved
    std::size_t parallel_limit = 32; ///< unanswered requests per budget
    duration lookahead{10'000};      ///< duration of demand requested beyond what is missing
};

/// Requests tokens from peers when the log cannot grant enough. Declares a budget exhausted only
/// after the log and every live router responded that they have none, and no tokens moved in the
/// meantime. Otherwise reservations stay queued until their deadline.
class transfer_broker
{
public:
    using transfer_callback = std::function<void(absl::StatusOr<std::vector<grant_part>>)>;

    struct hooks
    {
        clock_function now;
        std::function<std::vector<process_id>()> live_peers;
        /// Calls `transfer_tokens` of a peer. Calls back at most once, possibly never.
        std::function<void(
            process_id const& peer,
            transfer_id const&,
            budget_id const&,
            token_count,
            transfer_callback)>
            request_transfer;
    };

    /// `holder` must outlive the broker.
    transfer_broker(transfer_broker_settings settings, hooks hooks, budget_holder& holder);

    /// Starts and finishes rounds. To be called after `budget_holder::tick` and after a `reserve`
    /// that was queued.
    void tick();

private:
    struct open_request
    {
        transfer_id transfer;
        token_count tokens = 0;
        instant sent_at{};
        bool is_in_flight = false;
    };

    struct round
    {
        instant started_at{};
        instant next_at{};
        bool is_running = false;
        int number = 0; ///< counted from the start of the shortage
        token_count tokens_per_peer = 0;
        std::vector<process_id> to_ask;     ///< not asked yet
        std::set<process_id> asked;         ///< without a response so far
        bool tokens_moved = false;          ///< tokens were received during the round
        bool all_requests_succeeded = true; ///< no peer failed, refused or timed out
        token_count transferred_out_before = 0;
    };

    using request_key = std::pair<process_id, budget_id>;

    void start_round(token_shortage const& shortage, round& it, instant now);
    void ask_next_peers(budget_id const& budget, round& it, instant now);
    void
    send_request(process_id const& peer, budget_id const& budget, token_count tokens, instant now);
    void on_response(
        process_id const& peer,
        budget_id const& budget,
        transfer_id const& transfer,
        absl::StatusOr<std::vector<grant_part>> const& response);
    void expire_requests(round& it, budget_id const& budget, instant now);
    void finish_round(token_shortage const& shortage, round& it, instant now);
    void forget_departed_peers();

    transfer_broker_settings settings_;
    hooks hooks_;
    budget_holder& holder_;
    std::map<budget_id, round> rounds_;
    std::map<request_key, open_request> requests_;
    bool is_ticking_ = false;
};

} // namespace almondcart
