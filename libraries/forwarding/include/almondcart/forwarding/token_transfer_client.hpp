#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/forwarding/draw_record.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondcart::forwarding {

/// Request of one router to another for tokens of an account.
struct token_request
{
    std::string account;
    std::int64_t needed_tokens = 0; ///< for requests that wait
    std::int64_t wanted_tokens = 0; ///< with those for the near future; at least `needed_tokens`
};

/// Answer to a `token_request`.
struct token_transfer
{
    std::int64_t tokens = 0;      ///< that the asker may spend from now on, and the giver may not
    std::int64_t left_tokens = 0; ///< that the giver holds; its spending limit may be lower
};

struct token_transfer_client_settings
{
    int peers_per_round = 4;             ///< asked one after the other until enough has come
    duration shortage_backoff{200};      ///< in which a peer that gave too little is not asked
    duration unreachable_backoff{2'000}; ///< in which a peer that did not answer is not asked
};

/// Asks other routers for tokens that they hold, when the log cannot give any: it is lost, or all
/// of a total is drawn. Routers are known from their draw records, which also tell how much each
/// may have left. A gift whose answer is lost is spent by nobody.
class token_transfer_client
{
public:
    struct hooks
    {
        clock_function clock;

        /// Asks the router at `address`; calls back once, with nothing if there was no answer.
        std::function<void(
            std::string const& address,
            token_request const&,
            std::function<void(std::optional<token_transfer>)>)>
            ask;

        /// Tokens that arrived.
        std::function<void(std::string const& account, std::int64_t tokens)> receive;

        /// A round has ended, with all that it brought.
        std::function<void(std::string const& account)> on_end;
    };

    token_transfer_client(token_transfer_client_settings settings, std::string own_vm, hooks hooks);

    /// Learns of another router's holdings from its newest record.
    void observe(draw_record const& record);

    /// Starts a round, unless one is under way or nobody is known to have anything. Returns whether
    /// a round is under way.
    bool request(token_request const& request);

private:
    struct holding
    {
        double tokens = 0; ///< that were free at `seen`
        double demand_per_s = 0;
        instant seen{};
        instant short_until{}; ///< gave less than was needed
    };

    struct account_state
    {
        std::map<std::string, holding> holdings; ///< by VM
        std::optional<token_request> round;      ///< under way, with what is still missing
        std::set<std::string> asked;             ///< VMs, in this round
    };

    struct peer
    {
        std::string address;
        instant blocked_until{};
    };

    void ask_next(std::string const& account);
    std::string choose_peer(account_state const& state) const;
    void finish_ask(
        std::string const& account,
        std::string const& vm,
        std::optional<token_transfer> const& gift);
    void end_round(std::string const& account);
    double estimate(holding const& it) const;

    token_transfer_client_settings settings_;
    std::string own_vm_;
    hooks hooks_;
    std::map<std::string, peer> peers_; ///< by VM
    std::map<std::string, account_state> accounts_;
};

} // namespace almondcart::forwarding
