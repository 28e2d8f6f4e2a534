#include <almondcart/budget/transfer_broker.hpp>

#include <algorithm>

namespace almondcart {

transfer_broker::transfer_broker(
    transfer_broker_settings settings,
    hooks hooks,
    budget_holder& holder)
    : settings_(settings)
    , hooks_(std::move(hooks))
    , holder_(holder)
{}

void transfer_broker::tick()
{
    // `request_transfer` may call back at once, which must not start a nested pass.
    if (is_ticking_)
        return;
    is_ticking_ = true;
    auto const now = hooks_.now();
    forget_departed_peers();
    auto const shortages = holder_.shortages();
    std::erase_if(
        rounds_,
        [&](auto const& item)
        {
            return std::none_of(
                shortages.begin(),
                shortages.end(),
                [&](auto const& shortage) { return shortage.budget == item.first; });
        });
    for (auto const& shortage : shortages)
    {
        if (!shortage.should_ask_peers)
            continue;
        auto& it = rounds_[shortage.budget];
        if (!it.is_running && now >= it.next_at)
            start_round(shortage, it, now);
        if (!it.is_running)
            continue;
        expire_requests(it, shortage.budget, now);
        ask_next_peers(shortage.budget, it, now);
        if (it.asked.empty() && it.to_ask.empty())
            finish_round(shortage, it, now);
    }
    is_ticking_ = false;
}

void transfer_broker::start_round(token_shortage const& shortage, round& it, instant now)
{
    it.started_at = now;
    it.is_running = true;
    it.tokens_moved = false;
    it.all_requests_succeeded = true;
    it.transferred_out_before = holder_.transferred_out_total();
    it.to_ask = hooks_.live_peers();
    it.asked.clear();
    // The first round requests an equal share from each peer. Later rounds request the whole
    // shortage from each, because peers hold unequal amounts.
    auto const lookahead = shortage.own_demand * settings_.lookahead.count() / 1000;
    auto const n = token_count(std::max<std::size_t>(1, it.to_ask.size()));
    it.tokens_per_peer =
        it.number == 0 ? (shortage.missing + lookahead + n - 1) / n : shortage.missing;
    ++it.number;
}

void transfer_broker::ask_next_peers(budget_id const& budget, round& it, instant now)
{
    while (!it.to_ask.empty() && it.asked.size() < settings_.parallel_limit)
    {
        auto const peer = it.to_ask.back();
        it.to_ask.pop_back();
        it.asked.insert(peer);
        send_request(peer, budget, it.tokens_per_peer, now);
    }
}

void transfer_broker::send_request(
    process_id const& peer,
    budget_id const& budget,
    token_count tokens,
    instant now)
{
    auto& request = requests_[{peer, budget}];
    // A transfer without a response is requested again, because the peer may have debited it.
    if (request.transfer.number == 0)
        request = {holder_.create_transfer(budget), tokens, now, true};
    request.sent_at = now;
    request.is_in_flight = true;
    auto const transfer = request.transfer;
    hooks_.request_transfer(
        peer,
        transfer,
        budget,
        request.tokens,
        [this, peer, budget, transfer](auto const& response)
        { on_response(peer, budget, transfer, response); });
}

void transfer_broker::on_response(
    process_id const& peer,
    budget_id const& budget,
    transfer_id const& transfer,
    absl::StatusOr<std::vector<grant_part>> const& response)
{
    auto const request = requests_.find({peer, budget});
    if (request == requests_.end() || request->second.transfer != transfer)
        return;
    if (response.ok())
        requests_.erase(request);
    else
        request->second.is_in_flight = false;
    auto const credited = response.ok() ? holder_.transfer_in(transfer, *response) : 0;
    auto const it = rounds_.find(budget);
    if (it == rounds_.end())
        return;
    it->second.tokens_moved = it->second.tokens_moved || credited > 0;
    it->second.all_requests_succeeded = it->second.all_requests_succeeded && response.ok();
    it->second.asked.erase(peer);
    tick();
}

void transfer_broker::expire_requests(round& it, budget_id const& budget, instant now)
{
    std::erase_if(
        it.asked,
        [&](process_id const& peer)
        {
            auto const request = requests_.find({peer, budget});
            auto const is_late = request == requests_.end() ||
                                 now - request->second.sent_at >= settings_.response_timeout;
            if (is_late)
                it.all_requests_succeeded = false;
            return is_late;
        });
}

void transfer_broker::finish_round(token_shortage const& shortage, round& it, instant now)
{
    it.is_running = false;
    auto const has_transferred_out = holder_.transferred_out_total() != it.transferred_out_before;
    it.next_at = it.tokens_moved ? now : now + settings_.retry_interval;
    // A first round that requested only shares does not show that peers have no more.
    auto const asked_for_all = it.number > 1 || it.tokens_per_peer >= shortage.missing;
    if (it.tokens_moved || has_transferred_out || !asked_for_all || !it.all_requests_succeeded)
    {
        if (!asked_for_all && it.all_requests_succeeded)
            it.next_at = now;
        return;
    }
    if (shortage.is_log_exhausted)
        holder_.refuse_exhausted(shortage.budget, it.started_at);
}

void transfer_broker::forget_departed_peers()
{
    auto const peers = hooks_.live_peers();
    std::erase_if(
        requests_,
        [&](auto const& item)
        {
            auto const is_live =
                std::find(peers.begin(), peers.end(), item.first.first) != peers.end();
            if (!is_live)
                holder_.forget_transfer(item.second.transfer);
            return !is_live;
        });
}

} // namespace almondcart
