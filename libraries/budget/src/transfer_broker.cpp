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
    // A response that arrives within a request hook must not start a second pass.
    if (is_ticking_)
        return;
    is_ticking_ = true;
    auto const now = hooks_.now();
    forget_gone_peers();
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
        if (!shortage.should_ask)
            continue;
        auto& it = rounds_[shortage.budget];
        if (!it.is_running && now >= it.next_at)
            start(shortage, it, now);
        if (!it.is_running)
            continue;
        expire(it, shortage.budget, now);
        ask_more(shortage.budget, it, now);
        if (it.asked.empty() && it.to_ask.empty())
            conclude(shortage, it, now);
    }
    is_ticking_ = false;
}

void transfer_broker::start(token_shortage const& shortage, round& it, instant now)
{
    it.started_at = now;
    it.is_running = true;
    it.has_moved = false;
    it.is_definite = true;
    it.given_before = holder_.transferred_out_total();
    it.to_ask = hooks_.live_peers();
    it.asked.clear();
    // The first round takes an equal part from each peer; later ones take whatever is missing,
    // because peers hold unequal amounts.
    auto const ahead = shortage.own_demand * settings_.ahead.count() / 1000;
    auto const n = token_count(std::max<std::size_t>(1, it.to_ask.size()));
    it.tokens_per_peer = it.number == 0 ? (shortage.missing + ahead + n - 1) / n : shortage.missing;
    ++it.number;
}

void transfer_broker::ask_more(budget_id const& budget, round& it, instant now)
{
    while (!it.to_ask.empty() && it.asked.size() < settings_.parallel_limit)
    {
        auto const peer = it.to_ask.back();
        it.to_ask.pop_back();
        it.asked.insert(peer);
        ask(peer, budget, it.tokens_per_peer, now);
    }
}

void transfer_broker::ask(
    process_id const& peer,
    budget_id const& budget,
    token_count tokens,
    instant now)
{
    auto& request = requests_[{peer, budget}];
    // Without a response the same transfer is asked for again: the giver may have debited it.
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
        [this, peer, budget, transfer](auto const& answer)
        { answered(peer, budget, transfer, answer); });
}

void transfer_broker::answered(
    process_id const& peer,
    budget_id const& budget,
    transfer_id const& transfer,
    absl::StatusOr<std::vector<grant_part>> const& answer)
{
    auto const request = requests_.find({peer, budget});
    if (request == requests_.end() || request->second.transfer != transfer)
        return;
    if (answer.ok())
        requests_.erase(request);
    else
        request->second.is_in_flight = false;
    auto const credited = answer.ok() ? holder_.transfer_in(transfer, *answer) : 0;
    auto const it = rounds_.find(budget);
    if (it == rounds_.end())
        return;
    it->second.has_moved = it->second.has_moved || credited > 0;
    it->second.is_definite = it->second.is_definite && answer.ok();
    it->second.asked.erase(peer);
    tick();
}

void transfer_broker::expire(round& it, budget_id const& budget, instant now)
{
    std::erase_if(
        it.asked,
        [&](process_id const& peer)
        {
            auto const request = requests_.find({peer, budget});
            auto const is_late = request == requests_.end() ||
                                 now - request->second.sent_at >= settings_.response_timeout;
            if (is_late)
                it.is_definite = false;
            return is_late;
        });
}

void transfer_broker::conclude(token_shortage const& shortage, round& it, instant now)
{
    it.is_running = false;
    auto const has_given = holder_.transferred_out_total() != it.given_before;
    it.next_at = it.has_moved ? now : now + settings_.retry_interval;
    // The first round asks for a part only, so that its end says nothing about the rest.
    auto const is_full = it.number > 1 || it.tokens_per_peer >= shortage.missing;
    if (it.has_moved || has_given || !is_full || !it.is_definite)
    {
        if (!is_full && it.is_definite)
            it.next_at = now;
        return;
    }
    if (shortage.is_log_definite)
        holder_.conclude_exhausted(shortage.budget, it.started_at);
}

void transfer_broker::forget_gone_peers()
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
