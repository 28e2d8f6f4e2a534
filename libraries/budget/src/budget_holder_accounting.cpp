// Part of budget_holder that follows the folded state: grants, billing and grant sizes.
#include <almondcart/budget/budget_holder.hpp>

#include <algorithm>

namespace almondcart {

namespace {

constexpr std::size_t usage_items_per_record = 128;

/// Usage beyond this limit is held back, so that it fills whole records after a log outage.
constexpr std::size_t usage_records_in_flight = 32;

/// Whether `parts` can be the usage of an attempt that reserved `reserved`.
bool matches_reservation(
    std::vector<grant_part> const& parts,
    std::vector<grant_part> const& reserved)
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
        if (auto* held = find_held_budget(grant->budget))
            clear_applied_draw(*held, state);
    }
    else if (auto const* close = std::get_if<close_record>(&body))
        on_grant_closed(close->grant, state);
    else if (auto const* usage = std::get_if<usage_record>(&body))
    {
        on_usage_applied(*usage, record.offset, state);
        auto const flight = usage_in_flight_.find(record.record.sequence);
        if (record.record.writer == settings_.self && flight != usage_in_flight_.end())
            finish_usage_record(flight, state);
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
            held_budget_of(grant.budget).closed_at.emplace(id, hooks_.now());
    }
    for (auto& [id, held] : held_budgets_)
    {
        if (shard_of(id.account) != state.shard())
            continue;
        clear_applied_draw(held, state);
        close_ended_grants(held, state);
        serve_queue(held);
    }
    std::erase_if(
        returns_in_flight_,
        [&](auto const& item)
        {
            return shard_of(item.second.account) == state.shard() &&
                   state.has_applied(settings_.self, item.first);
        });
    finish_applied_usage(state);
    drop_recovered_attempts(state);
    deliver();
}

void budget_holder::on_grant_closed(grant_id const& id, budget_shard_state const& state)
{
    auto const* grant = state.find_grant(id);
    if (grant == nullptr || grant->state != grant_state::closed)
        return;
    auto& held = held_budget_of(grant->budget);
    held.closed_at.emplace(id, hooks_.now());
    close_locally(held, id);
}

void budget_holder::drop_recovered_attempts(budget_shard_state const& state)
{
    for (auto const& key : std::set<attempt_key>(abandoned_))
    {
        auto const it = attempts_.find(key);
        auto const& parts = it->second.value.parts;
        auto const is_ended = [&](grant_part const& part)
        { return part.grant.offset <= state.offset() && state.find_grant(part.grant) == nullptr; };
        if (shard_of(key.first.account) != state.shard() ||
            !std::all_of(parts.begin(), parts.end(), is_ended))
            continue;
        auto& held = held_budget_of(it->second.value.budget);
        for (auto const& part : parts)
            close_locally(held, part.grant);
        held.account.unreserve(parts);
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
    auto& held = held_budget_of(grant.budget);
    held.account.credit(grant.id, grant.amount, true);
    report_event(
        "grant_received", grant.budget, to_text(grant.id) + ": " + std::to_string(grant.amount));
    if (is_shutting_down_)
        return_tokens(held, held.account.free());
    serve_queue(held);
}

void budget_holder::clear_applied_draw(held_budget& held, budget_shard_state const& state)
{
    if (held.draw_sequence >= 0 && state.has_applied(settings_.self, held.draw_sequence))
        held.draw_sequence = -1;
}

void budget_holder::close_ended_grants(held_budget& held, budget_shard_state const& state)
{
    std::vector<grant_id> ended;
    for (auto const& [id, account] : held.account.grants())
    {
        if (account.is_closed || id.offset > state.offset())
            continue;
        auto const* grant = state.find_grant(id);
        if (grant == nullptr || grant->state != grant_state::open)
            ended.push_back(id);
    }
    for (auto const& id : ended)
        close_locally(held, id);
    held.account.remove_finished();
    std::erase_if(
        held.closed_at, [&](auto const& item) { return state.find_grant(item.first) == nullptr; });
}

void budget_holder::close_locally(held_budget& held, grant_id const& grant)
{
    if (!held.account.grants().contains(grant) || held.account.is_closed(grant))
        return;
    held.account.close(grant);
    report_event("grant_closed", held.account.id(), to_text(grant));
    for (auto const& key : undispatched_)
    {
        auto& entry = attempts_.at(key);
        if (entry.state != attempt_state::granted || entry.value.budget != held.account.id())
            continue;
        auto& parts = entry.value.parts;
        auto const has_part = std::any_of(
            parts.begin(), parts.end(), [&](auto const& part) { return part.grant == grant; });
        if (!has_part)
            continue;
        auto const tokens = total_of(parts);
        held.account.unreserve(parts);
        parts.clear();
        if (auto other = held.account.try_reserve(tokens))
            parts = std::move(*other);
        else
            entry.state = attempt_state::lost;
    }
    serve_queue(held);
}

void budget_holder::on_usage_applied(
    usage_record const& usage,
    std::int64_t offset,
    budget_shard_state const& state)
{
    for (auto const& item : usage.items)
    {
        auto const* request = state.find_request(item.request);
        if (request != nullptr && request->is_billed && request->billed_offset == offset)
            on_item_billed(item);
        for (auto const& part : item.parts)
        {
            if (state.find_grant(part.grant) == nullptr && part.grant.offset <= state.offset())
                on_grant_ended(part.grant, item.request.account);
        }
    }
}

void budget_holder::on_grant_ended(grant_id const& id, account_id const& account)
{
    credited_grants_.erase(id);
    for (auto it = held_budgets_.lower_bound({account, ""});
         it != held_budgets_.end() && it->first.account == account;
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
        if (has_run && running == attempts_.end() &&
            matches_reservation(item.parts, entry.value.parts))
            running = it;
    }
    return running;
}

void budget_holder::on_item_billed(usage_item const& item)
{
    if (hooks_.usage_billed)
        hooks_.usage_billed(item.request);
    if (auto const it = find_billed_attempt(item); it != attempts_.end())
    {
        auto& entry = it->second;
        auto& held = held_budget_of(entry.value.budget);
        if (entry.state != attempt_state::settled)
        {
            // Billed from the agent's report, so the attempt has finished.
            held.account.unreserve(remaining_parts(entry.value.parts, item.parts));
            held.account.set_pending(item.parts);
        }
        held.account.set_billed(item.parts);
        remove_attempt(it);
        serve_queue(held);
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
        auto& held = held_budget_of(entry.value.budget);
        held.account.set_unbilled(entry.usage.parts);
        report_event("duplicate_usage", entry.value.budget, to_text(request));
        remove_attempt(current);
        serve_queue(held);
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

void budget_holder::finish_applied_usage(budget_shard_state const& state)
{
    for (auto it = usage_in_flight_.begin(); it != usage_in_flight_.end();)
    {
        auto const flight = it++;
        auto const is_of_shard = shard_of(flight->second.front().first.account) == state.shard();
        if (is_of_shard && state.has_applied(settings_.self, flight->first))
            finish_usage_record(flight, state);
    }
}

void budget_holder::finish_usage_record(
    std::map<std::int64_t, std::vector<attempt_key>>::iterator flight,
    budget_shard_state const& state)
{
    for (auto const& key : flight->second)
    {
        auto const it = attempts_.find(key);
        if (it == attempts_.end() || it->second.usage_sequence != flight->first)
            continue;
        // The usage was refused, or billed by a record that a checkpoint or snapshot covered. Its
        // tokens are not reused, because this router cannot know under which grants it was billed.
        held_budget_of(it->second.value.budget).account.set_billed(it->second.usage.parts);
        auto const* request = state.find_request(key.first);
        if (request == nullptr || !request->is_billed)
            report_event("usage_refused", it->second.value.budget, to_text(key.first));
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

bool budget_holder::is_log_exhausted(held_budget const& held) const
{
    auto const* entry = find_folded_budget(held.account.id());
    if (!is_log_current() || entry == nullptr || entry->unallocated() > 0 ||
        held.draw_sequence >= 0 || is_returning(held.account.id()))
        return false;
    auto const* state = hooks_.shard_state(shard_of(held.account.id().account));
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
            auto const closed = held.closed_at.find(id);
            return closed == held.closed_at.end() ||
                   hooks_.now() - closed->second > settings_.recovery_timeout;
        });
}

sizing_input
budget_holder::sizing_input_of(held_budget const& held, budget_entry const& entry) const
{
    sizing_input input;
    input.unspent = std::max<token_count>(0, entry.total - entry.billed);
    input.unallocated = entry.unallocated();
    input.own_demand = held.account.demand().tokens_per_s(hooks_.now());
    input.all_demand = input.own_demand;
    for (auto const& peer : hooks_.live_peers())
    {
        auto const demand = entry.demand_tokens_per_s.find(peer);
        if (demand != entry.demand_tokens_per_s.end())
            input.all_demand += demand->second;
    }
    input.free = held.account.free();
    for (auto const& waiting : held.waiting)
        input.waiting += waiting.worst_case;
    return input;
}

void budget_holder::size_grants(held_budget& held, instant now)
{
    auto const* entry = find_folded_budget(held.account.id());
    held.account.remove_finished();
    if (is_shutting_down_)
        return_tokens(held, held.account.free());
    if (entry == nullptr || is_shutting_down_)
        return;
    auto const policy = policy_of(entry->preference);
    auto const input = sizing_input_of(held, *entry);
    draw(held, policy, input);
    // Returned tokens are unusable until the log has the return record, so none are returned while
    // the log does not respond.
    if (is_log_current() && held.draw_sequence < 0 && now - held.moved_at >= policy.return_after)
        return_tokens(held, tokens_to_return(policy, input));
}

void budget_holder::draw(held_budget& held, sizing_policy const& policy, sizing_input const& input)
{
    auto const tokens = held.draw_sequence >= 0 ? 0 : tokens_to_draw(policy, input);
    if (tokens <= 0)
        return;
    held.draw_sequence = hooks_.submit(grant_record{held.account.id(), tokens, input.own_demand});
    held.drawn_at = held.moved_at = hooks_.now();
    report_event("draw", held.account.id(), std::to_string(tokens));
}

void budget_holder::return_tokens(held_budget& held, token_count tokens)
{
    if (tokens <= 0)
        return;
    for (auto const& part : held.account.take_for_return(tokens))
    {
        auto const sequence = hooks_.submit(return_record{part.grant, part.tokens});
        returns_in_flight_.emplace(sequence, held.account.id());
        report_event(
            "return", held.account.id(), to_text(part.grant) + ": " + std::to_string(part.tokens));
    }
    held.moved_at = hooks_.now();
}

std::vector<token_shortage> budget_holder::shortages() const
{
    std::vector<token_shortage> result;
    auto const now = hooks_.now();
    for (auto const& id : with_waiting_)
    {
        auto const& held = held_budgets_.at(id);
        auto const* entry = find_folded_budget(id);
        if (entry == nullptr)
            continue;
        auto const input = sizing_input_of(held, *entry);
        token_shortage shortage;
        shortage.budget = id;
        shortage.missing = std::max<token_count>(1, input.waiting - input.free);
        shortage.own_demand = input.own_demand;
        auto const is_draw_late =
            held.draw_sequence >= 0 && now - held.drawn_at >= 2 * settings_.flush_interval;
        shortage.should_ask_peers =
            input.unallocated < shortage.missing || is_draw_late || !is_log_current();
        shortage.is_log_exhausted = is_log_exhausted(held);
        result.push_back(std::move(shortage));
    }
    return result;
}

std::vector<grant_id> budget_holder::stranded_grants() const
{
    std::set<grant_id> result;
    auto const now = hooks_.now();
    auto const peers = hooks_.live_peers();
    for (auto const& [id, held] : held_budgets_)
    {
        auto const* state = hooks_.shard_state(shard_of(id.account));
        if (state == nullptr || is_returning(id))
            continue;
        for (auto const& [grant, account] : held.account.grants())
        {
            auto const* entry = state->find_grant(grant);
            if (!account.is_own || account.is_closed || entry == nullptr)
                continue;
            auto const local_tokens = account.free + account.reserved + account.pending;
            auto const is_gone = std::any_of(
                account.transferred.begin(),
                account.transferred.end(),
                [&](auto const& item)
                { return std::find(peers.begin(), peers.end(), item.first) == peers.end(); });
            if (is_gone && entry->amount - entry->billed > local_tokens)
                result.insert(grant);
        }
    }
    for (auto const& key : abandoned_)
    {
        auto const& entry = attempts_.at(key);
        if (now - entry.changed_at < settings_.abandon_timeout)
            continue;
        for (auto const& part : entry.value.parts)
            result.insert(part.grant);
    }
    return {result.begin(), result.end()};
}

token_count budget_holder::returnable(budget_id const& budget) const
{
    auto const it = held_budgets_.find(budget);
    if (it == held_budgets_.end())
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
