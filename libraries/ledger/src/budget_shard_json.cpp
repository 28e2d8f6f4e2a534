#include <almondcart/core/count.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/ledger/budget_shard_state.hpp>
#include <almondcart/ledger/identifier_json.hpp>

#include <algorithm>
#include <limits>

namespace almondcart {

namespace {

using detail::read_budget_id;
using detail::read_grant_id;
using detail::read_process_id;
using detail::read_process_ids;
using detail::read_request_id;

struct counter_member
{
    char const* name;
    std::int64_t shard_refusals::*member;
};

constexpr counter_member refusal_members[] = {
    {"duplicate_usage", &shard_refusals::duplicate_usage},
    {"late_usage", &shard_refusals::late_usage},
    {"usage_of_recovered_grant", &shard_refusals::usage_of_recovered_grant},
    {"usage_beyond_grant", &shard_refusals::usage_beyond_grant},
    {"late_intent", &shard_refusals::late_intent},
    {"invalid", &shard_refusals::invalid},
    {"known_facts", &shard_refusals::known_facts},
    {"repeats", &shard_refusals::repeats},
    {"unparsed", &shard_refusals::unparsed},
};

Json::Value entry_to_json(budget_entry const& entry)
{
    Json::Value value(Json::objectValue);
    value["budget"] = to_text(entry.id);
    value["total"] = Json::Int64(entry.total);
    value["preference"] = std::string(name_of(entry.preference));
    value["document_version"] = Json::Int64(entry.document_version);
    value["settled"] = Json::Int64(entry.settled);
    value["charged"] = Json::Int64(entry.charged);
    value["billed"] = Json::Int64(entry.billed);
    value["demand"] = Json::Value(Json::arrayValue);
    for (auto const& [holder, demand] : entry.demand_tokens_per_s)
    {
        Json::Value item(Json::objectValue);
        item["holder"] = to_text(holder);
        item["tokens_per_s"] = Json::Int64(demand);
        value["demand"].append(item);
    }
    return value;
}

budget_entry read_budget_entry(json_reader& reader)
{
    budget_entry entry;
    entry.id = read_budget_id(reader, "budget");
    entry.total = reader.integer("total", 0, count_limit);
    entry.preference = read_budget_preference(reader, reader.string("preference"));
    entry.document_version = reader.integer("document_version", 0, count_limit);
    entry.settled = reader.integer("settled", 0, count_limit);
    entry.charged = reader.integer("charged", 0, count_limit);
    entry.billed = reader.integer("billed", 0, count_limit);
    reader.objects(
        "demand",
        [&entry](json_reader& it)
        {
            process_id const holder = read_process_id(it, "holder");
            entry.demand_tokens_per_s[holder] = it.integer("tokens_per_s", 0, count_limit);
        });
    return entry;
}

Json::Value entry_to_json(grant_entry const& entry)
{
    Json::Value value(Json::objectValue);
    value["grant"] = to_text(entry.id);
    value["budget"] = to_text(entry.budget);
    value["holder"] = to_text(entry.holder);
    value["amount"] = Json::Int64(entry.amount);
    value["billed"] = Json::Int64(entry.billed);
    value["granted_at_ms"] = Json::Int64(entry.granted_at_ms);
    value["closed_at"] = Json::Int64(entry.closed_at);
    value["reports"] = Json::Value(Json::arrayValue);
    for (auto const& agent : entry.reports)
        value["reports"].append(to_text(agent));
    return value;
}

grant_entry read_grant_entry(json_reader& reader)
{
    grant_entry entry;
    entry.id = read_grant_id(reader, "grant");
    entry.budget = read_budget_id(reader, "budget");
    entry.holder = read_process_id(reader, "holder");
    entry.amount = reader.integer("amount", 1, count_limit);
    entry.billed = reader.integer("billed", 0, entry.amount - 1);
    entry.granted_at_ms = reader.integer("granted_at_ms", 0, count_limit);
    entry.closed_at = reader.integer("closed_at", -1, count_limit);
    entry.state = entry.closed_at < 0 ? grant_state::open : grant_state::closed;
    auto const reports = read_process_ids(reader, "reports");
    entry.reports.insert(reports.begin(), reports.end());
    return entry;
}

Json::Value entry_to_json(agent_entry const& entry)
{
    Json::Value value(Json::objectValue);
    value["agent"] = to_text(entry.id);
    value["upstream"] = entry.upstream;
    value["started_at"] = Json::Int64(entry.started_at);
    value["stopped_at"] = Json::Int64(entry.stopped_at);
    value["stopped_ms"] = Json::Int64(entry.stopped_ms);
    value["drained"] = entry.is_drained;
    return value;
}

agent_entry read_agent_entry(json_reader& reader)
{
    agent_entry entry;
    entry.id = read_process_id(reader, "agent");
    entry.upstream = reader.string("upstream");
    entry.started_at = reader.integer("started_at", 0, count_limit);
    entry.stopped_at = reader.integer("stopped_at", -1, count_limit);
    entry.stopped_ms = reader.integer("stopped_ms", -1, count_limit);
    entry.is_drained = reader.boolean("drained");
    return entry;
}

template<typename Map>
Json::Value values_to_json(Map const& map)
{
    Json::Value value(Json::arrayValue);
    for (auto const& [id, entry] : map)
        value.append(entry_to_json(entry));
    return value;
}

/// Omits the request id, which the request's entry already contains.
Json::Value intent_to_json(intent_record const& intent, std::int64_t offset)
{
    Json::Value value(Json::objectValue);
    value["attempt"] = intent.attempt;
    value["agent"] = to_text(intent.agent);
    value["fingerprint"] = intent.fingerprint;
    value["started_ms"] = Json::Int64(intent.started_ms);
    value["offset"] = Json::Int64(offset);
    return value;
}

Json::Value outcome_to_json(outcome_record const& outcome)
{
    Json::Value value(Json::objectValue);
    value["attempt"] = outcome.attempt;
    value["state"] = std::string(name_of(outcome.state));
    value["status"] = outcome.status;
    value["content_type"] = outcome.content_type;
    value["body"] = outcome.body;
    return value;
}

int read_int(json_reader& reader, char const* name)
{
    return static_cast<int>(reader.integer(name, 0, std::numeric_limits<int>::max()));
}

Json::Value request_to_json(request_id const& id, request_entry const& entry)
{
    Json::Value value(Json::objectValue);
    value["request"] = to_text(id);
    value["last_time_ms"] = Json::Int64(entry.last_time_ms);
    if (entry.is_billed)
    {
        value["billed_offset"] = Json::Int64(entry.billed_offset);
        value["billed_tokens"] = Json::Int64(entry.billed_tokens);
    }
    if (entry.voided_attempts > 0)
        value["voided_attempts"] = entry.voided_attempts;
    if (entry.intent)
        value["intent"] = intent_to_json(*entry.intent, entry.intent_offset);
    if (entry.outcome)
        value["outcome"] = outcome_to_json(*entry.outcome);
    return value;
}

void read_intent(json_reader& reader, request_id const& id, request_entry& entry)
{
    intent_record intent;
    intent.request = id;
    intent.attempt = read_int(reader, "attempt");
    intent.agent = read_process_id(reader, "agent");
    intent.fingerprint = reader.string("fingerprint");
    intent.started_ms = reader.integer("started_ms", 0, count_limit);
    entry.intent_offset = reader.integer("offset", 0, count_limit);
    entry.intent = std::make_shared<intent_record const>(std::move(intent));
}

void read_outcome(json_reader& reader, request_id const& id, request_entry& entry)
{
    outcome_record outcome;
    outcome.request = id;
    outcome.attempt = read_int(reader, "attempt");
    std::string const state = reader.string("state");
    if (state == name_of(outcome_state::completed))
        outcome.state = outcome_state::completed;
    else if (state != name_of(outcome_state::unknown))
        reader.fail("state", "\"completed\" or \"unknown\"");
    outcome.status = read_int(reader, "status");
    outcome.content_type = reader.string("content_type");
    outcome.body = reader.string("body");
    entry.outcome = std::make_shared<outcome_record const>(std::move(outcome));
}

request_entry read_request_entry(json_reader& reader, request_id const& id)
{
    request_entry entry;
    entry.last_time_ms = reader.integer("last_time_ms", 0, count_limit);
    entry.billed_offset = reader.integer_or("billed_offset", 0, count_limit, -1);
    entry.is_billed = entry.billed_offset >= 0;
    entry.billed_tokens = reader.integer_or("billed_tokens", 0, count_limit, 0);
    entry.voided_attempts = reader.has("voided_attempts") ? read_int(reader, "voided_attempts") : 0;
    if (reader.has("intent"))
        reader.object("intent", [&](json_reader& it) { read_intent(it, id, entry); });
    if (reader.has("outcome"))
        reader.object("outcome", [&](json_reader& it) { read_outcome(it, id, entry); });
    return entry;
}

} // namespace

Json::Value budget_shard_state::to_json() const
{
    Json::Value value(Json::objectValue);
    value["shard"] = shard_;
    value["offset"] = Json::Int64(offset_);
    value["time_ms"] = Json::Int64(time_ms_);
    value["budgets"] = values_to_json(budgets_);
    value["grants"] = values_to_json(grants_);
    value["agents"] = values_to_json(agents_);
    value["requests"] = Json::Value(Json::arrayValue);
    for (auto const& [id, entry] : requests_)
        value["requests"].append(request_to_json(id, entry));
    value["recovered"] = recovered_to_json();
    value["writers"] = writers_.to_json();
    for (auto const& [name, member] : refusal_members)
        value["refusals"][name] = Json::Int64(refusals_.*member);
    return value;
}

Json::Value budget_shard_state::recovered_to_json() const
{
    Json::Value value(Json::arrayValue);
    for (auto const& [id, time_ms] : recovered_)
    {
        Json::Value item(Json::objectValue);
        item["grant"] = to_text(id);
        item["time_ms"] = Json::Int64(time_ms);
        value.append(item);
    }
    return value;
}

absl::StatusOr<budget_shard_state> budget_shard_state::from_json(Json::Value const& value)
{
    json_reader reader(value, "budget shard state", result_code::malformed_request);
    budget_shard_state state(static_cast<int>(reader.integer("shard", 0, budget_shard_count - 1)));
    state.read_members(reader);
    if (auto status = reader.finish(); !status.ok())
        return status;
    if (auto status = state.link_entries(); !status.ok())
        return status;
    return state;
}

void budget_shard_state::read_members(json_reader& reader)
{
    offset_ = reader.integer("offset", -1, count_limit);
    time_ms_ = reader.integer("time_ms", 0, count_limit);
    reader.objects(
        "budgets",
        [this](json_reader& it)
        {
            budget_entry entry = read_budget_entry(it);
            budgets_.emplace(entry.id, std::move(entry));
        });
    reader.objects(
        "grants",
        [this](json_reader& it)
        {
            grant_entry entry = read_grant_entry(it);
            grants_.emplace(entry.id, std::move(entry));
        });
    reader.objects(
        "agents",
        [this](json_reader& it)
        {
            agent_entry entry = read_agent_entry(it);
            agents_.emplace(entry.id, std::move(entry));
        });
    reader.objects(
        "requests",
        [this](json_reader& it)
        {
            request_id const id = read_request_id(it, "request");
            requests_.emplace(id, read_request_entry(it, id));
        });
    read_recovered(reader);
    writers_.read(reader, "writers");
    reader.object(
        "refusals",
        [this](json_reader& it)
        {
            for (auto const& [name, member] : refusal_members)
                refusals_.*member = it.integer(name, 0, count_limit);
        });
}

void budget_shard_state::read_recovered(json_reader& reader)
{
    reader.objects(
        "recovered",
        [this](json_reader& it)
        {
            grant_id const id = read_grant_id(it, "grant");
            recovered_[id] = it.integer("time_ms", 0, count_limit);
            recovered_expiry_.emplace_back(recovered_[id], id);
        });
    std::ranges::sort(recovered_expiry_);
}

absl::Status budget_shard_state::link_entries()
{
    std::map<budget_id, token_count> charged;
    for (auto const& [id, grant] : grants_)
    {
        auto const it = budgets_.find(grant.budget);
        if (it == budgets_.end() || id.shard != shard_)
        {
            return make_status(
                result_code::malformed_request,
                "budget shard state: grant " + to_text(id) + " has no budget");
        }
        it->second.grants.insert(id);
        charged[grant.budget] += grant.amount;
    }
    for (auto const& [id, budget] : budgets_)
    {
        if (budget.charged != budget.settled + charged[id])
        {
            return make_status(
                result_code::malformed_request,
                "budget shard state: charged tokens of " + to_text(id) + " do not add up");
        }
    }
    for (auto const& [id, entry] : requests_)
        request_expiry_.emplace_back(entry.last_time_ms, id);
    std::ranges::sort(request_expiry_);
    std::vector<agent_entry const*> ended;
    for (auto const& [id, entry] : agents_)
    {
        if (entry.stopped_at >= 0)
            ended.push_back(&entry);
    }
    std::ranges::sort(ended, {}, &agent_entry::stopped_at);
    for (auto const* entry : ended)
        agent_expiry_.emplace_back(entry->stopped_ms, entry->id);
    return absl::OkStatus();
}

} // namespace almondcart
