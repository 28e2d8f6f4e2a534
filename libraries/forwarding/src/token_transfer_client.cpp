#include <almondcart/forwarding/token_transfer_client.hpp>

#include <algorithm>
#include <utility>

namespace almondcart::forwarding {

token_transfer_client::token_transfer_client(
    token_transfer_client_settings settings,
    std::string own_vm,
    hooks hooks)
    : settings_(settings)
    , own_vm_(std::move(own_vm))
    , hooks_(std::move(hooks))
{}

void token_transfer_client::observe(draw_record const& record)
{
    if (record.owner.vm == own_vm_ || record.peer_address.empty())
        return;
    peers_[record.owner.vm].address = record.peer_address;
    auto const free = record.claimed_tokens - record.spending.spent_tokens;
    auto& it = accounts_[record.owner.account].holdings[record.owner.vm];
    it.tokens = static_cast<double>(free);
    it.demand_per_s = static_cast<double>(record.demand_per_s);
    it.seen = hooks_.clock();
}

double token_transfer_client::estimate(holding const& it) const
{
    auto const elapsed = hooks_.clock() - it.seen;
    return it.tokens - it.demand_per_s * std::chrono::duration<double>(elapsed).count();
}

bool token_transfer_client::request(token_request const& request)
{
    auto& state = accounts_[request.account];
    if (state.round)
        return true;
    state.round = request;
    state.asked.clear();
    ask_next(request.account);
    return state.round.has_value();
}

std::string token_transfer_client::choose_peer(account_state const& state) const
{
    auto const now = hooks_.clock();
    std::string best;
    double max_tokens = 0;
    for (auto const& [vm, holding] : state.holdings)
    {
        auto const it = peers_.find(vm);
        bool const is_blocked = it == peers_.end() || now < it->second.blocked_until;
        if (is_blocked || now < holding.backoff_until || state.asked.contains(vm))
            continue;
        auto const tokens = estimate(holding);
        if (tokens <= max_tokens)
            continue;
        max_tokens = tokens;
        best = vm;
    }
    return best;
}

void token_transfer_client::ask_next(std::string const& account)
{
    auto& state = accounts_[account];
    auto const vm = choose_peer(state);
    bool const is_limit_reached = static_cast<int>(state.asked.size()) >= settings_.peers_per_round;
    if (vm.empty() || is_limit_reached)
    {
        end_round(account);
        return;
    }
    state.asked.insert(vm);
    hooks_.ask(
        peers_[vm].address,
        *state.round,
        [this, account, vm](std::optional<token_transfer> const& transfer)
        { handle_response(account, vm, transfer); });
}

void token_transfer_client::handle_response(
    std::string const& account,
    std::string const& vm,
    std::optional<token_transfer> const& transfer)
{
    auto& state = accounts_[account];
    auto const now = hooks_.clock();
    // A peer never gives more than is asked for, so its tokens could not be relied on.
    bool const is_valid =
        transfer && transfer->tokens >= 0 &&
        transfer->tokens <= std::max(state.round->needed_tokens, state.round->wanted_tokens);
    if (!is_valid)
    {
        peers_[vm].blocked_until = now + settings_.unreachable_backoff;
        ask_next(account);
        return;
    }
    auto& holding = state.holdings[vm];
    holding.tokens = static_cast<double>(transfer->left_tokens);
    holding.seen = now;
    if (transfer->tokens < state.round->needed_tokens)
        holding.backoff_until = now + settings_.shortage_backoff;
    state.round->needed_tokens -= transfer->tokens;
    state.round->wanted_tokens -= transfer->tokens;
    if (transfer->tokens > 0)
        hooks_.receive(account, transfer->tokens);
    if (state.round->needed_tokens > 0)
        ask_next(account);
    else
        end_round(account);
}

void token_transfer_client::end_round(std::string const& account)
{
    auto& state = accounts_[account];
    state.round.reset();
    hooks_.on_end(account);
}

} // namespace almondcart::forwarding
