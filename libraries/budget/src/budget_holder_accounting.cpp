// Part of budget_holder that follows the fold: grants, billing, sizes.
#include <almondcart/budget/budget_holder.hpp>

#include <algorithm>

namespace almondcart {

namespace {

constexpr std::size_t usage_items_per_record = 128;

/// While the log is down, usage waits here and later fills whole records.
constexpr std::size_t usage_records_in_flight = 32;

/// Whether `parts` could be the usage of an attempt that reserved `reserved`.
bool is_within(std::vector<grant_part> const& parts, std::vector<grant_part> const& reserved)
{
    return first_tokens_of(reserved, total_of(parts)) == parts;
}

} // namespace

void budget_holder::record_applied(stored_record const& record, budget_shard_state const& state)
{
    auto const& body = record.record.body;
    if (auto const* grant = std::get_if<grant_record>(&body))
    {
        auto const* entry = state.find_grant({state.shard(), record.offset});
        if (entry != nullptr && entry->holder == settings_.self)
            credit_own_grant(*entry);
        if (auto* it = find_entry(grant->budget))
            update_flights(*it, state);
    }
    else if (auto const* close = std::get_if<close_record>(&body))
        close_folded(close->grant, state);
    else if (auto const* usage = std::get_if<usage_record>(&body))
    {
        usage_folded(*usage, record.offset, state);
        auto const flight = usage_in_flight_.find(record.record.sequence);
        if (record.record.writer == settings_.self && flight != usage_in_flight_.end())
            end_usage_flight(flight, state);
    }
    else if (auto const* returned = std::get_if<return_record>(&body))
    {
        if (record.record.writer == settings_.self)
            returns_in_flight_.erase(record.record.sequence);
        if (state.find_grant(returned->grant) == nullptr)
            credited_grants_.erase(returned->grant);
    }
    else if (auto const* recover = std::get_if<recover_record>(&body))
    {
        if (state.find_grant(recover->grant) == nullptr)
        {
            credited_grants_.erase(recover->grant);
            drop_recovered_attempts(state);
        }
    }
    deliver();
}

void budget_holder::state_restored(budget_shard_state const& state)
{
    for (auto const& [id, grant] : state.grants())
    {
        if (grant.holder == settings_.self)
            credit_own_grant(grant);
        if (grant.state == grant_state::closed)
            entry_of(grant.budget).closed_at.emplace(id, hooks_.now());
    }
    for (auto& [id, it] : entries_)
    {
        if (shard_of(id.account) != state.shard())
            continue;
        update_flights(it, state);
        check_grants(it, state);
        serve(it);
    }
    std::erase_if(
        returns_in_flight_,
        [&](auto const& item)
        {
            return shard_of(item.second.account) == state.shard() &&
                   state.has_applied(settings_.self, item.first);
        });
    check_refused_usage(state);
    drop_recovered_attempts(state);
    deliver();
}

void budget_holder::close_folded(grant_id const& id, budget_shard_state const& state)
{
    auto const* grant = state.find_grant(id);
    if (grant == nullptr || grant->state != grant_state::closed)
        return;
    auto& it = entry_of(grant->budget);
    it.closed_at.emplace(id, hooks_.now());
    close_locally(it, id);
}

void budget_holder::drop_recovered_attempts(budget_shard_state const& state)
{
    for (auto const& key : std::set<attempt_key>(abandoned_))
    {
        auto const it = attempts_.find(key);
        auto const& parts = it->second.value.parts;
        auto const is_gone = [&](grant_part const& part)
        { return part.grant.offset <= state.offset() && state.find_grant(part.grant) == nullptr; };
        if (shard_of(key.first.account) != state.shard() ||
            !std::all_of(parts.begin(), parts.end(), is_gone))
            continue;
        auto& budget = entry_of(it->second.value.budget);
        for (auto const& part : parts)
            close_locally(budget, part.grant);
        budget.account.unreserve(parts);
        remove_attempt(it);
    }
}

void budget_holder::credit_own_grant(grant_entry const& grant)
{
    if (credited_grants_.contains(grant.id))
        return;
    credited_grants_.insert(grant.id);
    if (grant.state != grant_state::open)
        return;
    auto& it = entry_of(grant.budget);
    it.account.credit(grant.id, grant.amount, true);
    note("grant_received", grant.budget, to_text(grant.id) + ": " + std::to_string(grant.amount));
    if (is_shutting_down_)
        give_back(it, it.account.free());
    serve(it);
}

void budget_holder::update_flights(budget_entry_state& it, budget_shard_state const& state)
{
    if (it.draw_sequence >= 0 && state.has_applied(settings_.self, it.draw_sequence))
        it.draw_sequence = -1;
}

void budget_holder::check_grants(budget_entry_state& it, budget_shard_state const& state)
{
    std::vector<grant_id> ended;
    for (auto const& [id, account] : it.account.grants())
    {
        if (account.is_closed || id.offset > state.offset())
            continue;
        auto const* grant = state.find_grant(id);
        if (grant == nullptr || grant->state != grant_state::open)
            ended.push_back(id);
    }
    for (auto const& id : ended)
        close_locally(it, id);
    it.account.remove_finished();
    std::erase_if(
        it.closed_at, [&](auto const& item) { return state.find_grant(item.first) == nullptr; });
}

void budget_holder::close_locally(budget_entry_state& it, grant_id const& grant)
{
    if (!it.account.grants().contains(grant) || it.account.is_closed(grant))
        return;
    it.account.close(grant);
    note("grant_closed", it.account.id(), to_text(grant));
    for (auto const& key : undispatched_)
    {
        auto& entry = attempts_.at(key);
        if (entry.state != attempt_state::granted || entry.value.budget != it.account.id())
            continue;
        auto& parts = entry.value.parts;
        auto const has_part = std::any_of(
            parts.begin(), parts.end(), [&](auto const& part) { return part.grant == grant; });
        if (!has_part)
            continue;
        auto const tokens = total_of(parts);
        it.account.unreserve(parts);
        parts.clear();
        if (auto other = it.account.try_reserve(tokens))
            parts = std::move(*other);
        else
            entry.state = attempt_state::lost;
    }
    serve(it);
}

void budget_holder::usage_folded(
    usage_record const& usage,
    std::int64_t offset,
    budget_shard_state const& state)
{
    for (auto const& item : usage.items)
    {
        auto const* request = state.find_request(item.request);
        if (request != nullptr && request->is_billed && request->billed_offset == offset)
            item_billed(item);
        for (auto const& part : item.parts)
        {
            if (state.find_grant(part.grant) == nullptr && part.grant.offset <= state.offset())
                grant_ended(part.grant, item.request.account);
        }
    }
}

void budget_holder::grant_ended(grant_id const& id, account_id const& account)
{
    credited_grants_.erase(id);
    for (auto it = entries_.lower_bound({account, ""});
         it != entries_.end() && it->first.account == account;
         ++it)
        close_locally(it->second, id);
}

std::map<budget_holder::attempt_key, budget_holder::attempt_entry>::iterator
budget_holder::find_billed_attempt(usage_item const& item)
{
    auto running = attempts_.end();
    for (auto it = attempts_.lower_bound({item.request, 0});
         it != attempts_.end() && it->first.first == item.request;
         ++it)
    {
        auto const& entry = it->second;
        if (entry.state == attempt_state::settled && entry.usage.parts == item.parts)
            return it;
        auto const has_run =
            entry.state == attempt_state::abandoned || entry.state == attempt_state::dispatched;
        if (has_run && running == attempts_.end() && is_within(item.parts, entry.value.parts))
            running = it;
    }
    return running;
}

void budget_holder::item_billed(usage_item const& item)
{
    if (hooks_.usage_billed)
        hooks_.usage_billed(item.request);
    if (auto const it = find_billed_attempt(item); it != attempts_.end())
    {
        auto& entry = it->second;
        auto& budget = entry_of(entry.value.budget);
        if (entry.state != attempt_state::settled)
        {
            // Billed through the agent: the attempt has finished.
            budget.account.unreserve(rest_of(entry.value.parts, item.parts));
            budget.account.set_pending(item.parts);
        }
        budget.account.set_billed(item.parts);
        remove_attempt(it);
        serve(budget);
    }
    free_duplicates(item.request);
}

void budget_holder::free_duplicates(request_id const& request)
{
    auto it = attempts_.lower_bound({request, 0});
    while (it != attempts_.end() && it->first.first == request)
    {
        auto const current = it++;
        auto& entry = current->second;
        entry.is_billed_elsewhere = true;
        if (entry.state != attempt_state::settled)
            continue;
        auto& budget = entry_of(entry.value.budget);
        budget.account.set_unbilled(entry.usage.parts);
        note("duplicate_usage", entry.value.budget, to_text(request));
        remove_attempt(current);
        serve(budget);
    }
}

void budget_holder::remove_attempt(std::map<attempt_key, attempt_entry>::iterator it)
{
    undispatched_.erase(it->first);
    abandoned_.erase(it->first);
    unsubmitted_.erase(it->first);
    attempts_.erase(it);
}

void budget_holder::submit_usage()
{
    if (usage_in_flight_.size() >= usage_records_in_flight)
        return;
    std::map<int, usage_record> records;
    std::map<int, std::vector<attempt_key>> keys;
    auto const send = [&](int shard)
    {
        auto const sequence = hooks_.submit(std::move(records[shard]));
        for (auto const& key : keys[shard])
            attempts_.at(key).usage_sequence = sequence;
        usage_in_flight_.emplace(sequence, std::move(keys[shard]));
        records[shard] = {};
        keys[shard] = {};
    };
    for (auto const& key : unsubmitted_)
    {
        auto const shard = shard_of(key.first.account);
        records[shard].items.push_back(attempts_.at(key).usage);
        keys[shard].push_back(key);
        if (records[shard].items.size() == usage_items_per_record)
            send(shard);
    }
    unsubmitted_.clear();
    for (auto const& [shard, record] : std::map<int, usage_record>(records))
    {
        if (!record.items.empty())
            send(shard);
    }
}

void budget_holder::check_refused_usage(budget_shard_state const& state)
{
    for (auto it = usage_in_flight_.begin(); it != usage_in_flight_.end();)
    {
        auto const flight = it++;
        auto const is_of_shard = shard_of(flight->second.front().first.account) == state.shard();
        if (is_of_shard && state.has_applied(settings_.self, flight->first))
            end_usage_flight(flight, state);
    }
}

void budget_holder::end_usage_flight(
    std::map<std::int64_t, std::vector<attempt_key>>::iterator flight,
    budget_shard_state const& state)
{
    for (auto const& key : flight->second)
    {
        auto const it = attempts_.find(key);
        if (it == attempts_.end() || it->second.usage_sequence != flight->first)
            continue;
        // Refused by the fold, or billed by a record that was skipped: its tokens are not reused,
        // because this router cannot know under which grants the request was billed.
        entry_of(it->second.value.budget).account.set_billed(it->second.usage.parts);
        auto const* request = state.find_request(key.first);
        if (request == nullptr || !request->is_billed)
            note("usage_refused", it->second.value.budget, to_text(key.first));
        else if (hooks_.usage_billed)
            hooks_.usage_billed(key.first);
        remove_attempt(it);
    }
    usage_in_flight_.erase(flight);
}

bool budget_holder::is_returning(budget_id const& budget) const
{
    return std::any_of(
        returns_in_flight_.begin(),
        returns_in_flight_.end(),
        [&](auto const& item) { return item.second == budget; });
}

bool budget_holder::is_log_current() const
{
    return hooks_.now() - hooks_.log_read_at() <= settings_.log_read_timeout;
}

bool budget_holder::is_log_definite(budget_entry_state const& it) const
{
    auto const* entry = folded(it.account.id());
    if (!is_log_current() || entry == nullptr || entry->unallocated() > 0 ||
        it.draw_sequence >= 0 || is_returning(it.account.id()))
        return false;
    auto const* state = hooks_.shard_state(shard_of(it.account.id().account));
    auto const peers = hooks_.live_peers();
    return std::all_of(
        entry->grants.begin(),
        entry->grants.end(),
        [&](grant_id const& id)
        {
            auto const* grant = state->find_grant(id);
            if (grant == nullptr || grant->amount <= grant->billed)
                return true;
            if (grant->state == grant_state::open)
                return grant->holder == settings_.self ||
                       std::find(peers.begin(), peers.end(), grant->holder) != peers.end();
            auto const closed = it.closed_at.find(id);
            return closed == it.closed_at.end() ||
                   hooks_.now() - closed->second > settings_.recovery_patience;
        });
}

sizing_input
budget_holder::sizing_input_of(budget_entry_state const& it, budget_entry const& entry) const
{
    sizing_input input;
    input.unspent = std::max<token_count>(0, entry.total - entry.billed);
    input.unallocated = entry.unallocated();
    input.own_demand = it.account.demand().tokens_per_s(hooks_.now());
    input.all_demand = input.own_demand;
    for (auto const& peer : hooks_.live_peers())
    {
        auto const demand = entry.demand_tokens_per_s.find(peer);
        if (demand != entry.demand_tokens_per_s.end())
            input.all_demand += demand->second;
    }
    input.free = it.account.free();
    for (auto const& waiting : it.waiting)
        input.waiting += waiting.worst_case;
    return input;
}

void budget_holder::size_grants(budget_entry_state& it, instant now)
{
    auto const* entry = folded(it.account.id());
    it.account.remove_finished();
    if (is_shutting_down_)
        give_back(it, it.account.free());
    if (entry == nullptr || is_shutting_down_)
        return;
    auto const policy = policy_of(entry->preference);
    auto const input = sizing_input_of(it, *entry);
    draw(it, policy, input);
    // A return waits for the log, and nobody can use its tokens meanwhile.
    if (is_log_current() && it.draw_sequence < 0 && now - it.moved_at >= policy.return_after)
        give_back(it, tokens_to_return(policy, input));
}

void budget_holder::draw(
    budget_entry_state& it,
    sizing_policy const& policy,
    sizing_input const& input)
{
    auto const tokens = it.draw_sequence >= 0 ? 0 : tokens_to_draw(policy, input);
    if (tokens <= 0)
        return;
    it.draw_sequence = hooks_.submit(grant_record{it.account.id(), tokens, input.own_demand});
    it.drawn_at = it.moved_at = hooks_.now();
    note("draw", it.account.id(), std::to_string(tokens));
}

void budget_holder::give_back(budget_entry_state& it, token_count tokens)
{
    if (tokens <= 0)
        return;
    for (auto const& part : it.account.take_for_return(tokens))
    {
        auto const sequence = hooks_.submit(return_record{part.grant, part.tokens});
        returns_in_flight_.emplace(sequence, it.account.id());
        note("return", it.account.id(), to_text(part.grant) + ": " + std::to_string(part.tokens));
    }
    it.moved_at = hooks_.now();
}

std::vector<token_shortage> budget_holder::shortages() const
{
    std::vector<token_shortage> result;
    auto const now = hooks_.now();
    for (auto const& id : with_waiting_)
    {
        auto const& it = entries_.at(id);
        auto const* entry = folded(id);
        if (entry == nullptr)
            continue;
        auto const input = sizing_input_of(it, *entry);
        token_shortage shortage;
        shortage.budget = id;
        shortage.missing = std::max<token_count>(1, input.waiting - input.free);
        shortage.own_demand = input.own_demand;
        auto const is_draw_late =
            it.draw_sequence >= 0 && now - it.drawn_at >= 2 * settings_.flush_interval;
        shortage.should_ask =
            input.unallocated < shortage.missing || is_draw_late || !is_log_current();
        shortage.is_log_definite = is_log_definite(it);
        result.push_back(std::move(shortage));
    }
    return result;
}

std::vector<grant_id> budget_holder::stranded_grants() const
{
    std::set<grant_id> result;
    auto const now = hooks_.now();
    auto const peers = hooks_.live_peers();
    for (auto const& [id, it] : entries_)
    {
        auto const* state = hooks_.shard_state(shard_of(id.account));
        if (state == nullptr || is_returning(id))
            continue;
        for (auto const& [grant, account] : it.account.grants())
        {
            auto const* entry = state->find_grant(grant);
            if (!account.is_own || account.is_closed || entry == nullptr)
                continue;
            auto const here = account.free + account.reserved + account.pending;
            auto const is_gone = std::any_of(
                account.transferred.begin(),
                account.transferred.end(),
                [&](auto const& item)
                { return std::find(peers.begin(), peers.end(), item.first) == peers.end(); });
            if (is_gone && entry->amount - entry->billed > here)
                result.insert(grant);
        }
    }
    for (auto const& key : abandoned_)
    {
        auto const& entry = attempts_.at(key);
        if (now - entry.changed_at < settings_.abandon_limit)
            continue;
        for (auto const& part : entry.value.parts)
            result.insert(part.grant);
    }
    return {result.begin(), result.end()};
}

token_count budget_holder::returnable(budget_id const& budget) const
{
    auto const it = entries_.find(budget);
    if (it == entries_.end())
        return 0;
    token_count sum = 0;
    for (auto const& [id, account] : it->second.account.grants())
    {
        if (account.is_own)
            sum += account.free;
    }
    return sum;
}

} // namespace almondcart
