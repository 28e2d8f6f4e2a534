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
    duration response_timeout{200};  ///< then the peer counts as not responding in this round
    duration retry_interval{50};     ///< between rounds of which nothing came
    std::size_t parallel_limit = 32; ///< unanswered requests per budget
    duration ahead{10'000};          ///< demand of this length is asked for beyond what is missing
};

/// Asks peers for tokens when the log cannot help, and decides when a budget is exhausted as a
/// whole: only when the log and every known router responded, had nothing, and no tokens moved
/// meanwhile. Without that the reservations wait until their deadline.
class transfer_broker
{
public:
    using transfer_callback = std::function<void(absl::StatusOr<std::vector<grant_part>>)>;

    struct hooks
    {
        clock_function now;
        std::function<std::vector<process_id>()> live_peers;
        /// `transfer_tokens` of a peer. Calls back at most once, possibly never.
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

    /// Starts and concludes rounds. Called after `budget_holder::tick` and after a `reserve` that
    /// did not fit.
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
        int number = 0; ///< since the shortage began
        token_count tokens_per_peer = 0;
        std::vector<process_id> to_ask; ///< not asked yet
        std::set<process_id> asked;     ///< not answered yet
        bool has_moved = false;         ///< tokens came, or were given away, during the round
        bool is_definite = true;        ///< every peer responded and had nothing
        token_count given_before = 0;
    };

    using request_key = std::pair<process_id, budget_id>;

    void start(token_shortage const& shortage, round& it, instant now);
    void ask_more(budget_id const& budget, round& it, instant now);
    void ask(process_id const& peer, budget_id const& budget, token_count tokens, instant now);
    void answered(
        process_id const& peer,
        budget_id const& budget,
        transfer_id const& transfer,
        absl::StatusOr<std::vector<grant_part>> const& answer);
    void expire(round& it, budget_id const& budget, instant now);
    void conclude(token_shortage const& shortage, round& it, instant now);
    void forget_gone_peers();

    transfer_broker_settings settings_;
    hooks hooks_;
    budget_holder& holder_;
    std::map<budget_id, round> rounds_;
    std::map<request_key, open_request> requests_;
    bool is_ticking_ = false;
};

} // namespace almondcart
