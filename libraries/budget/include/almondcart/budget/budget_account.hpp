#pragma once

#include <almondcart/budget/demand_estimate.hpp>
#include <almondcart/budget/reservation.hpp>

#include <map>
#include <optional>
#include <vector>

namespace almondcart {

/// Tokens of one grant that this router received, by their current use. `credited` always equals
/// the sum of the other counts.
struct grant_account
{
    bool is_own = false;    ///< drawn by this router; otherwise transferred from a peer
    bool is_closed = false; ///< accepts no new work
    token_count credited = 0;
    token_count free = 0;
    token_count reserved = 0; ///< for attempts that are not settled, including abandoned ones
    token_count pending = 0;  ///< settled, but the usage is not yet folded
    token_count billed = 0;
    token_count returned = 0;
    token_count dropped = 0; ///< free tokens of a closed grant; grant recovery releases them
    std::map<process_id, token_count> transferred; ///< by receiver; cannot be undone

    token_count transferred_total() const;
    bool is_balanced() const;
};

/// Tokens of one budget that this router holds, over all grants.
class budget_account
{
public:
    explicit budget_account(budget_id id)
        : id_(std::move(id))
    {}

    budget_id const& id() const { return id_; }
    token_count free() const { return free_; }
    std::map<grant_id, grant_account> const& grants() const { return grants_; }

    demand_estimate& demand() { return demand_; }
    demand_estimate const& demand() const { return demand_; }

    /// Adds tokens to free, or to dropped if the grant is closed.
    void credit(grant_id const& grant, token_count tokens, bool is_own);

    /// Moves free tokens to reserved. Uses transferred tokens first, because only the holder of a
    /// grant can return its tokens, and then the oldest grants, so that they are used up. Returns
    /// nullopt if fewer tokens are free.
    std::optional<std::vector<grant_part>> try_reserve(token_count tokens);

    /// Moves `parts` from reserved to free, or to dropped where the grant is closed.
    void unreserve(std::vector<grant_part> const& parts);

    /// Moves `parts` from reserved to pending.
    void set_pending(std::vector<grant_part> const& parts);

    /// Moves `parts` from pending to billed.
    void set_billed(std::vector<grant_part> const& parts);

    /// Moves `parts` from pending to free, or to dropped where the grant is closed.
    void set_unbilled(std::vector<grant_part> const& parts);

    /// Debits up to `tokens` free tokens for `receiver`. Uses the newest grants first, so that old
    /// grants are used up by their holder.
    std::vector<grant_part> transfer(process_id const& receiver, token_count tokens);

    /// Debits up to `tokens` free tokens of own grants. The caller submits their return to the log.
    std::vector<grant_part> take_for_return(token_count tokens);

    /// Marks the grant as closed and drops its free tokens. It accepts no new work.
    void close(grant_id const& grant);

    /// Removes grants without free, reserved or pending tokens that are closed or belong to a peer.
    void remove_finished();

    bool is_closed(grant_id const& grant) const;

private:
    void add_free(grant_account& account, token_count tokens);

    budget_id id_;
    std::map<grant_id, grant_account> grants_;
    token_count free_ = 0;
    demand_estimate demand_;
};

} // namespace almondcart
