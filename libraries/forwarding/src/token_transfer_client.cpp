#include <almondcart/core/hash.hpp>
#include <almondcart/forwarding/token_transfer_client.hpp>

#include <algorithm>
#include <cmath>
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
    // The peer can give no more than its report lets it spend.
    auto const free =
        std::min(record.claimed_tokens - record.spending.spent_tokens, record.spending.most_tokens);
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
    continue_round(request.account);
    return state.round.has_value();
}

std::string token_transfer_client::choose_peer(account_state const& state) const
{
    auto const now = hooks_.clock();
    std::string best;
    std::pair<int, std::uint64_t> best_rank;
    for (auto const& [vm, holding] : state.holdings)
    {
        auto const it = peers_.find(vm);
        bool const is_blocked = it == peers_.end() || now < it->second.blocked_until;
        if (is_blocked || now < holding.backoff_until || state.asked.contains(vm) ||
            state.open.contains(vm))
            continue;
        auto const tokens = estimate(holding);
        if (tokens <= 0)
            continue;
        std::pair const rank{std::ilogb(tokens), hash64(own_vm_ + vm)};
        if (!best.empty() && rank <= best_rank)
            continue;
        best_rank = rank;
        best = vm;
    }
    return best;
}

bool token_transfer_client::is_more_needed(account_state const& state) const
{
    auto const open = static_cast<int>(state.open.size());
    if (!state.round || open >= settings_.max_open ||
        static_cast<int>(state.asked.size()) >= settings_.peers_per_round)
        return false;
    double expected = 0;
    for (auto const& [vm, tokens] : state.open)
        expected += tokens;
    return open < settings_.min_open || expected < static_cast<double>(state.round->needed_tokens);
}

void token_transfer_client::continue_round(std::string const& account)
{
    auto& state = accounts_[account];
    while (is_more_needed(state))
    {
        auto const vm = choose_peer(state);
        if (vm.empty())
            break;
        ask(account, vm);
    }
    // Peers that were asked in an earlier round and are yet to respond are not waited for.
    if (state.round && (state.asked.empty() || state.open.empty()))
        end_round(account);
}

void token_transfer_client::ask(std::string const& account, std::string const& vm)
{
    auto& state = accounts_[account];
    auto request = *state.round;
    // Only one peer is asked for tokens beyond the need, because all that give are received.
    if (!state.asked.empty())
        request.wanted_tokens = request.needed_tokens;
    state.asked.insert(vm);
    state.open[vm] = estimate(state.holdings[vm]);
    hooks_.ask(
        peers_[vm].address,
        request,
        [this, account, vm, request](std::optional<token_transfer> const& transfer)
        { handle_response(account, vm, request, transfer); });
}

void token_transfer_client::handle_response(
    std::string const& account,
    std::string const& vm,
    token_request const& sent,
    std::optional<token_transfer> const& transfer)
{
    auto& state = accounts_[account];
    auto const now = hooks_.clock();
    state.open.erase(vm);
    // A peer never gives more than is asked for, so its tokens could not be relied on.
    bool const is_valid = transfer && transfer->tokens >= 0 &&
                          transfer->tokens <= std::max(sent.needed_tokens, sent.wanted_tokens);
    if (!is_valid)
    {
        peers_[vm].blocked_until = now + settings_.unreachable_backoff;
        continue_round(account);
        return;
    }
    auto& holding = state.holdings[vm];
    holding.tokens = static_cast<double>(transfer->left_tokens);
    holding.seen = now;
    if (transfer->tokens < sent.needed_tokens)
        holding.backoff_until = now + settings_.shortage_backoff;
    if (state.round)
    {
        state.round->needed_tokens -= transfer->tokens;
        state.round->wanted_tokens -= transfer->tokens;
    }
    if (transfer->tokens > 0)
        hooks_.receive(account, transfer->tokens);
    if (state.round && state.round->needed_tokens <= 0)
        end_round(account);
    else
        continue_round(account);
}

void token_transfer_client::end_round(std::string const& account)
{
    auto& state = accounts_[account];
    state.round.reset();
    hooks_.on_end(account);
}

} // namespace almondcart::forwarding
