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

/// Request of one gateway to another for tokens of an account.
struct token_request
{
    std::string account;
    std::int64_t needed_tokens = 0; ///< for waiting requests
    std::int64_t wanted_tokens = 0; ///< including expected demand; at least `needed_tokens`
};

/// Response to a `token_request`.
struct token_transfer
{
    std::int64_t tokens = 0;      ///< transferred to the requesting gateway
    std::int64_t left_tokens = 0; ///< free at the other gateway; its spending limit may be lower
};

struct token_transfer_client_settings
{
    int peers_per_round = 4;             ///< asked until enough tokens have arrived
    int min_open = 2;                    ///< asked at once, since one may not respond
    int max_open = 3;                    ///< asked at once if fewer are not expected to suffice
    duration shortage_backoff{200};      ///< after a peer transferred less than needed
    duration unreachable_backoff{2'000}; ///< after a peer did not respond
};

/// Requests tokens from other gateways when none can be drawn from the log, because it is
/// unavailable or the total is fully drawn. Gateways are discovered through their draw records,
/// which also indicate how much each may have left. Those that may give most are asked, a few at
/// once. Tokens that arrive after enough others have are received too. If the response to a
/// transfer is lost, nobody can spend its tokens.
class token_transfer_client
{
public:
    struct hooks
    {
        clock_function clock;

        /// Sends a request to the gateway at `address`. Calls back once, with nothing if there was
        /// no response.
        std::function<void(
            std::string const& address,
            token_request const&,
            std::function<void(std::optional<token_transfer>)>)>
            ask;

        /// Called with tokens that arrived.
        std::function<void(std::string const& account, std::int64_t tokens)> receive;

        /// Called when a round has ended, because enough tokens were received or no more are
        /// expected.
        std::function<void(std::string const& account)> on_end;
    };

    token_transfer_client(token_transfer_client_settings settings, std::string own_vm, hooks hooks);

    /// Updates the known holdings of another gateway from its newest record.
    void observe(draw_record const& record);

    /// Starts a round of requests, unless one is in progress or no gateway is known to have tokens.
    /// Returns whether a round is in progress.
    bool request(token_request const& request);

private:
    struct holding
    {
        double tokens = 0; ///< that could be given at `seen`
        double demand_per_s = 0;
        instant seen{};
        instant backoff_until{}; ///< after a transfer of less than needed
    };

    struct account_state
    {
        std::map<std::string, holding> holdings; ///< by VM
        std::optional<token_request> round;      ///< in progress, with what is still missing
        std::set<std::string> asked;             ///< VMs asked in this round
        std::map<std::string, double> open;      ///< tokens expected from VMs yet to respond
    };

    struct peer
    {
        std::string address;
        instant blocked_until{};
    };

    /// Asks peers until enough tokens are expected, or ends the round if there is none to wait for.
    void continue_round(std::string const& account);
    bool is_more_needed(account_state const& state) const;
    void ask(std::string const& account, std::string const& vm);

    /// Returns the VM that may give most, or an empty string. Estimates that differ by less than a
    /// factor of two count as equal, so that gateways do not all ask the same one.
    std::string choose_peer(account_state const& state) const;
    void handle_response(
        std::string const& account,
        std::string const& vm,
        token_request const& sent,
        std::optional<token_transfer> const& transfer);
    void end_round(std::string const& account);
    double estimate(holding const& it) const;

    token_transfer_client_settings settings_;
    std::string own_vm_;
    hooks hooks_;
    std::map<std::string, peer> peers_; ///< by VM
    std::map<std::string, account_state> accounts_;
};

} // namespace almondcart::forwarding
