#include <almondcart/ledger/budget_shard_state.hpp>

#include <algorithm>
#include <array>

namespace almondcart {

namespace {

constexpr std::array<std::string_view, 4> grant_state_names =
    {"open", "closed", "recovered", "exhausted"};

/// Usage of work that started longer ago is refused. Half the window, so that a request key is
/// still known whenever a repeat of its usage could be accepted.
constexpr std::int64_t late_limit_ms = budget_shard_state::request_key_window_ms / 2;

template<typename Map, typename Key>
auto* find_in(Map& map, Key const& key)
{
    auto const it = map.find(key);
    return it == map.end() ? nullptr : &it->second;
}

} // namespace

std::string_view name_of(grant_state state)
{
    return grant_state_names.at(static_cast<std::size_t>(state));
}

budget_shard_state::budget_shard_state(int shard)
    : shard_(shard)
{}

void budget_shard_state::apply(stored_record const& record)
{
    if (record.offset <= offset_)
        return;
    advance_to(record.offset, record.time_ms);
    if (writers_.insert(record.record.writer, record.record.sequence, time_ms_))
        apply_record(record.record);
    else
        ++refusals_.repeats;
    remove_expired_agents(); // after folding, which may end the grants that need them
}

void budget_shard_state::advance(std::int64_t offset)
{
    offset_ = std::max(offset_, offset);
}

void budget_shard_state::skip(std::int64_t offset, std::int64_t time_ms)
{
    if (offset <= offset_)
        return;
    advance_to(offset, time_ms);
    ++refusals_.unparsed;
}

budget_entry const* budget_shard_state::find_budget(budget_id const& id) const
{
    return find_in(budgets_, id);
}

grant_entry const* budget_shard_state::find_grant(grant_id const& id) const
{
    return find_in(grants_, id);
}

request_entry const* budget_shard_state::find_request(request_id const& id) const
{
    return find_in(requests_, id);
}

std::vector<process_id> budget_shard_state::required_reports(grant_id const& id) const
{
    std::vector<process_id> required;
    auto const* grant = find_grant(id);
    if (grant == nullptr || grant->state != grant_state::closed)
        return required;
    for (auto const& [agent, entry] : agents_)
    {
        bool const was_registered = entry.started_at < grant->closed_at;
        bool const was_running = entry.stopped_at < 0 || entry.stopped_at > id.offset;
        if (was_registered && was_running && !entry.is_drained && !grant->reports.contains(agent))
            required.push_back(agent);
    }
    return required;
}

bool budget_shard_state::has_applied(process_id const& writer, std::int64_t sequence) const
{
    return writers_.contains(writer, sequence);
}

void budget_shard_state::advance_to(std::int64_t offset, std::int64_t time_ms)
{
    offset_ = offset;
    time_ms_ = std::max(time_ms_, time_ms);
    remove_expired();
}

void budget_shard_state::remove_expired()
{
    remove_expired_requests();
    while (!recovered_expiry_.empty() &&
           recovered_expiry_.front().first + request_key_window_ms < time_ms_)
    {
        recovered_.erase(recovered_expiry_.front().second);
        recovered_expiry_.pop_front();
    }
    // Holders of grants are kept, because a repeated return record of a forgotten writer would
    // lower the grant twice.
    writers_.remove_idle(
        time_ms_,
        [this](process_id const& writer) { return holds_grant(writer); },
        [this](process_id const& writer)
        {
            for (auto& [id, budget] : budgets_)
                budget.demand_tokens_per_s.erase(writer);
        });
}

void budget_shard_state::remove_expired_requests()
{
    while (!request_expiry_.empty() &&
           request_expiry_.front().first + request_key_window_ms < time_ms_)
    {
        auto const it = requests_.find(request_expiry_.front().second);
        if (it != requests_.end() && it->second.last_time_ms == request_expiry_.front().first)
            requests_.erase(it);
        request_expiry_.pop_front();
    }
}

void budget_shard_state::remove_expired_agents()
{
    while (!agent_expiry_.empty() && agent_expiry_.front().first + request_key_window_ms < time_ms_)
    {
        // Agents stop in offset order, so a grant that needs this agent also needs the later ones.
        auto const it = agents_.find(agent_expiry_.front().second);
        if (!grants_.empty() && grants_.begin()->first.offset < it->second.stopped_at)
            return;
        agents_.erase(it);
        agent_expiry_.pop_front();
    }
}

bool budget_shard_state::is_late(std::int64_t started_ms) const
{
    return started_ms < time_ms_ - late_limit_ms;
}

bool budget_shard_state::belongs_to_shard(account_id const& account) const
{
    return shard_of(account) == shard_;
}

bool budget_shard_state::holds_grant(process_id const& writer) const
{
    return std::ranges::any_of(
        grants_, [&writer](auto const& it) { return it.second.holder == writer; });
}

void budget_shard_state::apply_record(log_record const& record)
{
    std::visit([&](auto const& body) { apply_body(record.writer, body); }, record.body);
}

void budget_shard_state::apply_body(process_id const&, limit_record const& body)
{
    if (!belongs_to_shard(body.budget.account))
    {
        ++refusals_.invalid;
        return;
    }
    budget_entry& budget = budgets_[body.budget];
    if (body.document_version <= budget.document_version)
    {
        ++refusals_.known_facts;
        return;
    }
    budget.id = body.budget;
    budget.total = body.total_tokens;
    budget.preference = body.preference;
    budget.document_version = body.document_version;
}

void budget_shard_state::apply_body(process_id const& writer, grant_record const& body)
{
    auto* budget = find_in(budgets_, body.budget);
    if (budget == nullptr)
    {
        ++refusals_.invalid;
        return;
    }
    budget->demand_tokens_per_s[writer] = body.demand_tokens_per_s;
    token_count const amount = std::min(body.tokens, budget->unallocated());
    if (amount == 0)
        return;
    grant_entry grant;
    grant.id = {shard_, offset_};
    grant.budget = body.budget;
    grant.holder = writer;
    grant.amount = amount;
    grant.granted_at_ms = time_ms_;
    budget->charged += amount;
    budget->grants.insert(grant.id);
    grants_.emplace(grant.id, std::move(grant));
}

void budget_shard_state::apply_body(process_id const& writer, return_record const& body)
{
    auto* grant = find_in(grants_, body.grant);
    if (grant == nullptr)
    {
        ++refusals_.known_facts;
        return;
    }
    if (grant->holder != writer)
    {
        ++refusals_.invalid;
        return;
    }
    token_count const returned = std::min(body.tokens, grant->amount - grant->billed);
    grant->amount -= returned;
    budgets_.at(grant->budget).charged -= returned;
    if (grant->amount == grant->billed)
        settle(*grant);
}

void budget_shard_state::apply_body(process_id const&, usage_record const& body)
{
    for (auto const& item : body.items)
        count_usage(try_bill(item));
}

budget_shard_state::usage_result budget_shard_state::try_bill(usage_item const& item)
{
    // A start in the future would let a repeat pass the lateness check after its key has expired.
    if (!belongs_to_shard(item.request.account) || item.started_ms > time_ms_ + late_limit_ms)
        return usage_result::invalid;
    if (is_late(item.started_ms))
        return usage_result::late;
    auto const* known = find_request(item.request);
    if (known != nullptr && known->is_billed)
        return usage_result::duplicate;
    part_totals totals;
    for (auto const& part : item.parts)
    {
        if (part.tokens < 0 || part.tokens > token_count_limit)
            return usage_result::invalid;
        if (part.tokens > 0)
            totals[part.grant] += part.tokens;
    }
    auto const result = check_parts(item.request.account, totals);
    if (result != usage_result::billed)
        return result;

    request_entry& request = requests_[item.request];
    request.is_billed = true;
    request.billed_offset = offset_;
    for (auto const& [id, tokens] : totals)
    {
        grant_entry& grant = grants_.at(id);
        grant.billed += tokens;
        budgets_.at(grant.budget).billed += tokens;
        request.billed_tokens += tokens;
        if (grant.billed == grant.amount)
            settle(grant);
    }
    touch(item.request, request);
    return usage_result::billed;
}

budget_shard_state::usage_result
budget_shard_state::check_parts(account_id const& account, part_totals const& totals) const
{
    for (auto const& [id, tokens] : totals)
    {
        if (recovered_.contains(id))
            return usage_result::grant_recovered;
        if (id.shard != shard_ || id.offset >= offset_)
            return usage_result::invalid;
        auto const* grant = find_grant(id);
        if (grant == nullptr || tokens > grant->amount - grant->billed)
            return usage_result::beyond_grant;
        if (grant->budget.account != account)
            return usage_result::invalid;
    }
    return usage_result::billed;
}

void budget_shard_state::count_usage(usage_result result)
{
    switch (result)
    {
    case usage_result::billed:
        break;
    case usage_result::duplicate:
        ++refusals_.duplicate_usage;
        break;
    case usage_result::late:
        ++refusals_.late_usage;
        break;
    case usage_result::grant_recovered:
        ++refusals_.usage_of_recovered_grant;
        break;
    case usage_result::beyond_grant:
        ++refusals_.usage_beyond_grant;
        break;
    case usage_result::invalid:
        ++refusals_.invalid;
        break;
    }
}

void budget_shard_state::settle(grant_entry& grant)
{
    budgets_.at(grant.budget).settled += grant.billed;
    remove_grant(grant);
}

void budget_shard_state::recover(grant_entry& grant)
{
    budget_entry& budget = budgets_.at(grant.budget);
    budget.settled += grant.billed;
    budget.charged -= grant.amount - grant.billed;
    recovered_[grant.id] = time_ms_;
    recovered_expiry_.emplace_back(time_ms_, grant.id);
    remove_grant(grant);
}

void budget_shard_state::remove_grant(grant_entry const& grant)
{
    budgets_.at(grant.budget).grants.erase(grant.id);
    grants_.erase(grant_id(grant.id));
}

void budget_shard_state::apply_body(process_id const&, close_record const& body)
{
    auto* grant = find_in(grants_, body.grant);
    if (grant == nullptr || grant->state != grant_state::open)
    {
        ++refusals_.known_facts;
        return;
    }
    grant->state = grant_state::closed;
    grant->closed_at = offset_;
    forget_demand(budgets_.at(grant->budget), grant->holder);
}

void budget_shard_state::forget_demand(budget_entry& budget, process_id const& holder)
{
    bool const has_open_grant = std::ranges::any_of(
        budget.grants,
        [&](grant_id const& id)
        {
            grant_entry const& grant = grants_.at(id);
            return grant.holder == holder && grant.state == grant_state::open;
        });
    if (!has_open_grant)
        budget.demand_tokens_per_s.erase(holder);
}

void budget_shard_state::apply_body(process_id const&, recover_record const& body)
{
    auto* grant = find_in(grants_, body.grant);
    if (grant == nullptr)
    {
        ++refusals_.known_facts;
        return;
    }
    if (grant->state != grant_state::closed)
    {
        ++refusals_.invalid;
        return;
    }
    // Reports of an incomplete record are kept, because their agents may be gone by the next one.
    // Keeping only required ones bounds the set.
    std::set<process_id> const reported(body.reports.begin(), body.reports.end());
    for (auto const& agent : required_reports(body.grant))
    {
        if (reported.contains(agent))
            grant->reports.insert(agent);
    }
    if (required_reports(body.grant).empty())
        recover(*grant);
    else
        ++refusals_.invalid;
}

void budget_shard_state::apply_body(process_id const&, agent_start_record const& body)
{
    auto const [it, is_new] = agents_.try_emplace(body.agent);
    if (!is_new)
    {
        ++refusals_.known_facts;
        return;
    }
    it->second.id = body.agent;
    it->second.upstream = body.upstream;
    it->second.started_at = offset_;
    for (auto other = agents_.lower_bound({body.agent.name, {}});
         other != agents_.end() && other->first.name == body.agent.name;
         ++other)
    {
        if (other != it && other->second.stopped_at < 0)
            end_agent(other->second);
    }
}

void budget_shard_state::apply_body(process_id const&, agent_stop_record const& body)
{
    auto* agent = find_in(agents_, body.agent);
    if (agent == nullptr || agent->stopped_at >= 0)
        ++refusals_.known_facts;
    else
    {
        end_agent(*agent);
        agent->is_drained = true;
    }
}

void budget_shard_state::end_agent(agent_entry& agent)
{
    agent.stopped_at = offset_;
    agent.stopped_ms = time_ms_;
    agent_expiry_.emplace_back(time_ms_, agent.id);
}

void budget_shard_state::apply_body(process_id const&, intent_record const& body)
{
    if (!belongs_to_shard(body.request.account) || body.started_ms > time_ms_ + late_limit_ms)
    {
        ++refusals_.invalid;
        return;
    }
    if (is_late(body.started_ms))
    {
        ++refusals_.late_intent;
        return;
    }
    auto const* known = find_request(body.request);
    int const next_attempt = known == nullptr ? 1 : known->voided_attempts + 1;
    // Billed usage without an intent means that the key belongs to a request that already ran.
    bool const has_already_run = known != nullptr && (known->is_billed || known->outcome);
    if (body.attempt != next_attempt || has_already_run || (known != nullptr && known->intent))
    {
        ++refusals_.known_facts;
        return;
    }
    request_entry& request = requests_[body.request];
    request.intent = std::make_shared<intent_record const>(body);
    request.intent_offset = offset_;
    touch(body.request, request);
}

void budget_shard_state::apply_body(process_id const&, void_record const& body)
{
    auto* request = find_in(requests_, body.request);
    if (request == nullptr || !request->intent || request->intent->attempt != body.attempt ||
        request->outcome || request->is_billed)
    {
        ++refusals_.known_facts;
        return;
    }
    request->voided_attempts = body.attempt;
    request->intent.reset();
    request->intent_offset = -1;
    touch(body.request, *request);
}

void budget_shard_state::apply_body(process_id const&, outcome_record const& body)
{
    auto* request = find_in(requests_, body.request);
    if (request == nullptr || !request->intent || request->intent->attempt != body.attempt)
    {
        ++refusals_.known_facts;
        return;
    }
    bool const resolves_unknown = request->outcome &&
                                  request->outcome->state == outcome_state::unknown &&
                                  body.state == outcome_state::completed;
    if (request->outcome && !resolves_unknown)
    {
        ++refusals_.known_facts;
        return;
    }
    request->outcome = std::make_shared<outcome_record const>(body);
    touch(body.request, *request);
}

void budget_shard_state::apply_body(process_id const&, publish_record const&)
{
    ++refusals_.invalid;
}

void budget_shard_state::apply_body(process_id const&, crash_report_record const&)
{
    ++refusals_.invalid;
}

void budget_shard_state::touch(request_id const& id, request_entry& entry)
{
    entry.last_time_ms = time_ms_;
    request_expiry_.emplace_back(time_ms_, id);
}

} // namespace almondcart
