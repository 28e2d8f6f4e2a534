#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/ledger/budget_shard_state.hpp>
#include <almondcart/ledger/checkpoint.hpp>
#include <almondcart/ledger/configuration_state.hpp>
#include <almondcart/ledger/records.hpp>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <map>
#include <ostream>
#include <set>
#include <string>
#include <vector>

using namespace almondcart;

namespace {

constexpr int shard = 3;
constexpr std::int64_t hour_ms = 3'600'000;
account_id const account{"sandshare", "dune-masters"};
budget_id const season{account, "season"};
budget_id const practice{account, "practice"};

process_id router(int n)
{
    return {"router-" + std::to_string(n), "a"};
}

process_id agent(int n, int incarnation)
{
    return {"agent-" + std::to_string(n), std::to_string(incarnation)};
}

request_id request(int n)
{
    return {account, "request-" + std::to_string(n)};
}

limit_record limit_of(budget_id const& budget, token_count total, std::int64_t version)
{
    return {budget, total, budget_preference::false_refusals, version};
}

usage_record usage_of(int n, grant_id const& grant, token_count tokens, std::int64_t started_ms)
{
    return {{{request(n), started_ms, {{grant, tokens}}}}};
}

// Stream and its folded state. Assigns increasing sequences per writer.
class stream
{
public:
    std::int64_t append(process_id const& writer, record_body body)
    {
        return store({writer, ++sequences_[writer], std::move(body)});
    }

    std::int64_t store(log_record record)
    {
        records.push_back({static_cast<std::int64_t>(records.size()), time_ms, std::move(record)});
        state.apply(records.back());
        return records.back().offset;
    }

    grant_id grant(process_id const& holder, budget_id const& budget, token_count tokens)
    {
        return {shard, append(holder, grant_record{budget, tokens, 5})};
    }

    std::vector<stored_record> records;
    std::int64_t time_ms = 100 * hour_ms;
    budget_shard_state state{shard};

private:
    std::map<process_id, std::int64_t> sequences_;
};

stream create_stream(token_count total)
{
    stream log;
    log.append(router(1), limit_of(season, total, 1));
    return log;
}

template<typename State>
State restore_from_json(State const& state)
{
    auto const value = parse_json(to_compact_json(state.to_json()));
    cr_assert(value.ok());
    auto result = State::from_json(*value);
    cr_assert(result.ok(), "%s", std::string(result.status().message()).c_str());
    return *std::move(result);
}

// One step of a random history. The numbers select from small sets, so that steps often collide.
struct random_step
{
    int kind = 0;
    int writer = 0;
    int target = 0;
    int amount = 0;
    int wait = 0;
};

// Prints a step of a failed case.
void showValue(random_step const& it, std::ostream& out)
{
    out << '{' << it.kind << ',' << it.writer << ',' << it.target << ',' << it.amount << ','
        << it.wait << '}';
}

rc::Gen<std::vector<random_step>> random_steps()
{
    auto const number = [](int limit) { return rc::gen::inRange(0, limit); };
    return rc::gen::scale(
        4.0,
        rc::gen::container<std::vector<random_step>>(rc::gen::build<random_step>(
            rc::gen::set(&random_step::kind, number(16)),
            rc::gen::set(&random_step::writer, number(3)),
            rc::gen::set(&random_step::target, number(64)),
            rc::gen::set(&random_step::amount, number(200)),
            rc::gen::set(&random_step::wait, number(40)))));
}

// Turns steps into records of one shard. Keeps all usage items, so that later steps can submit one
// again from any writer and at any later time.
class random_history
{
public:
    void apply_step(random_step const& it)
    {
        // Most steps follow within milliseconds. A few wait for hours, so that keys and writers
        // expire.
        log.time_ms += it.wait == 0 ? 20 * hour_ms : it.wait == 1 ? 5 * hour_ms : it.wait;
        process_id const writer = router(it.writer);
        if (it.kind < 3)
            grants.push_back(
                log.grant(writer, it.target % 2 == 0 ? season : practice, it.amount + 1));
        else if (it.kind < 6)
            append_usage(it);
        else if (it.kind == 6 && !items.empty())
            log.append(writer, usage_record{{items[it.target % items.size()]}});
        else if (it.kind == 7)
            append_limit(it);
        else if (it.kind == 8 && !log.records.empty())
            log.store(log.records[it.target * 7 % log.records.size()].record);
        else if (it.kind == 9)
            log.append(writer, agent_start_record{agent(it.target % 2, it.amount % 4), "m1"});
        else if (it.kind == 10)
            log.append(writer, intent_of(it));
        else if (it.kind == 11)
            log.append(writer, void_record{request(it.target % 8), it.amount % 3 + 1});
        else if (it.kind == 12)
            log.append(writer, outcome_of(it));
        else if (!grants.empty())
            end_grant(it, grants[it.target % grants.size()]);
    }

    stream log;
    std::vector<grant_id> grants;
    std::vector<usage_item> items;

private:
    void append_usage(random_step const& it)
    {
        if (grants.empty())
            return;
        usage_item item{request(it.target % 8), log.time_ms, {}};
        item.parts.push_back({grants[it.target % grants.size()], it.amount % 60 + 1});
        if (it.amount % 3 == 0)
            item.parts.push_back({grants[it.amount % grants.size()], it.amount % 20 + 1});
        items.push_back(item);
        log.append(router(it.writer), usage_record{{item}});
    }

    void append_limit(random_step const& it)
    {
        log.append(
            router(it.writer),
            limit_of(it.target % 2 == 0 ? season : practice, it.amount * 5, it.target / 8 + 1));
    }

    void end_grant(random_step const& it, grant_id const& grant)
    {
        if (it.kind == 13)
            log.append(router(it.writer), return_record{grant, it.amount + 1});
        else if (it.kind == 14)
            log.append(router(it.writer), close_record{grant, "holder gone"});
        else
            log.append(router(it.writer), recover_record{grant, log.state.required_reports(grant)});
    }

    intent_record intent_of(random_step const& it) const
    {
        return {
            request(it.target % 8),
            it.amount % 3 + 1,
            agent(it.target % 2, 0),
            "f",
            log.time_ms - it.wait * hour_ms};
    }

    static outcome_record outcome_of(random_step const& it)
    {
        auto const state = it.wait % 2 == 0 ? outcome_state::unknown : outcome_state::completed;
        return {request(it.target % 8), it.amount % 3 + 1, state, 200, "text/plain", "é\"\n"};
    }
};

token_count billed_tokens(budget_shard_state const& state)
{
    token_count sum = 0;
    for (auto const& [id, budget] : state.budgets())
        sum += budget.billed;
    return sum;
}

// Parts of a state that a repeated record must not change.
Json::Value state_without_counters(budget_shard_state const& state)
{
    Json::Value value = state.to_json();
    value.removeMember("offset");
    value["refusals"].removeMember("repeats");
    return value;
}

std::vector<record_body> sample_bodies()
{
    Json::Value document(Json::objectValue);
    document["service"] = "sandshare";
    grant_id const grant{shard, 7};
    return {
        publish_record{"sandshare", 2, document, "ops"},
        crash_report_record{"f00d", "m1", "agent-1@2", request(1)},
        limit_of(season, 2000, 3),
        grant_record{season, 100, 20},
        return_record{grant, 5},
        usage_record{{{request(1), 5, {{grant, 3}, {{shard, 8}, 0}}}, {request(2), 6, {}}}},
        close_record{grant, "holder gone"},
        recover_record{grant, {agent(1, 1), agent(2, 1)}},
        agent_start_record{agent(1, 1), "m1"},
        agent_stop_record{agent(1, 1)},
        intent_record{request(1), 2, agent(1, 1), "f00d", 77},
        void_record{request(1), 2},
        outcome_record{request(1), 2, outcome_state::completed, 200, "text/plain", "done"}};
}

} // namespace

// Guards against a record type whose written form the parser does not accept.
Test(records, round_trip)
{
    for (auto const& body : sample_bodies())
    {
        Json::Value const value = to_json(log_record{router(1), 9, body});
        auto const record = parse_record(parse_json(to_compact_json(value)).value());
        cr_assert(record.ok(), "%s", std::string(record.status().message()).c_str());
        cr_assert_eq(record->body.index(), body.index());
        cr_assert(to_json(*record) == value);
    }
    cr_assert_eq(std::variant_size_v<record_body>, sample_bodies().size());
}

// Guards against crashing on or accepting a record with a missing, mistyped or unknown member.
Test(records, damaged_records_are_errors)
{
    for (auto const& body : sample_bodies())
    {
        Json::Value const value = to_json(log_record{router(1), 9, body});
        for (auto const& name : value.getMemberNames())
        {
            if (name == "document")
                continue;
            Json::Value damaged = value;
            damaged[name] = Json::Value(Json::objectValue);
            cr_assert_eq(code_of(parse_record(damaged).status()), result_code::malformed_request);
            damaged = value;
            damaged.removeMember(name);
            cr_assert_not(parse_record(damaged).ok(), "%s", name.c_str());
            damaged = value;
            damaged["extra"] = 1;
            cr_assert_not(parse_record(damaged).ok());
        }
    }
    cr_assert_not(parse_record(Json::Value(Json::arrayValue)).ok());
    cr_assert_not(parse_record(Json::Value("text")).ok());
}

// Guards against spreading the records of one account over two streams.
Test(records, streams)
{
    cr_assert_eq(stream_of(grant_record{season, 1, 0}), "budget-3");
    cr_assert_eq(stream_of(usage_of(1, {3, 1}, 1, 0)), "budget-3");
    cr_assert_eq(stream_of(void_record{request(1), 1}), "budget-3");
    cr_assert_eq(stream_of(close_record{{9, 1}, ""}), "budget-9");
    cr_assert_eq(stream_of(publish_record{}), "config");
    cr_assert_eq(stream_of(agent_start_record{}), "");
    cr_assert_eq(checkpoint_stream(budget_stream(3)), "budget-3.checkpoint");
}

// Guards against overspend through grants beyond the total, billing beyond a grant, or counters
// that drift from the sum of their grants.
Test(budget_shard, random_histories_keep_the_arithmetic)
{
    cr_assert(rc::check(
        "charged tokens stay within the total and billed tokens within their grants",
        []
        {
            random_history history;
            std::map<budget_id, token_count> charged;
            for (auto const& it : *random_steps())
            {
                history.apply_step(it);
                for (auto const& [id, budget] : history.log.state.budgets())
                {
                    token_count sum = budget.settled;
                    for (auto const& grant : budget.grants)
                        sum += history.log.state.find_grant(grant)->amount;
                    RC_ASSERT(budget.charged == sum);
                    RC_ASSERT(budget.charged <= std::max(budget.total, charged[id]));
                    RC_ASSERT(budget.billed <= budget.charged);
                    charged[id] = budget.charged;
                }
                for (auto const& [id, grant] : history.log.state.grants())
                    RC_ASSERT(grant.billed >= 0 && grant.billed < grant.amount);
            }
        }));
}

// Guards against billing a request twice, including when its usage is submitted again by another
// router or after its key has expired.
Test(budget_shard, random_histories_bill_each_run_once)
{
    cr_assert(rc::check(
        "each item raises the billed tokens at most once",
        []
        {
            random_history history;
            std::map<std::pair<request_id, std::int64_t>, int> billed;
            for (auto const& it : *random_steps())
            {
                token_count const before = billed_tokens(history.log.state);
                std::size_t const n = history.log.records.size();
                history.apply_step(it);
                if (history.log.records.size() == n || billed_tokens(history.log.state) == before)
                    continue;
                auto const& body = history.log.records.back().record.body;
                auto const& item = std::get<usage_record>(body).items.at(0);
                RC_ASSERT(++billed[std::pair(item.request, item.started_ms)] == 1);
            }
        }));
}

// Guards against routers with different states: folding must depend on the records alone, and not
// on repeated delivery or on a restore from a snapshot in between.
Test(budget_shard, random_histories_fold_equally)
{
    cr_assert(rc::check(
        "a state that was restored from a snapshot and given each record twice equals the first",
        []
        {
            random_history history;
            for (auto const& it : *random_steps())
                history.apply_step(it);
            auto const& records = history.log.records;
            std::size_t const cut = *rc::gen::inRange<std::size_t>(0, records.size() + 1);
            budget_shard_state first(shard);
            for (std::size_t i = 0; i < cut; ++i)
                first.apply(records[i]);
            budget_shard_state second = restore_from_json(first);
            for (std::size_t i = cut; i < records.size(); ++i)
            {
                second.apply(records[i]);
                second.apply(records[i]);
                second.apply(records[i / 2]);
            }
            RC_ASSERT(second.to_json() == history.log.state.to_json());
        }));
}

// Guards against an append taking effect twice after its response was lost.
Test(budget_shard, random_histories_ignore_repeats)
{
    cr_assert(rc::check(
        "a record that is appended again changes nothing",
        []
        {
            random_history history;
            for (auto const& it : *random_steps())
            {
                std::size_t const n = history.log.records.size();
                history.apply_step(it);
                if (history.log.records.size() == n)
                    continue;
                Json::Value const state = state_without_counters(history.log.state);
                history.log.store(history.log.records.back().record);
                RC_ASSERT(state_without_counters(history.log.state) == state);
            }
        }));
}

// Guards against overspend by routers that draw at the same time.
Test(budget_shard, grants_no_more_than_unallocated)
{
    stream log = create_stream(100);
    auto const first = log.grant(router(1), season, 70);
    auto const second = log.grant(router(2), season, 70);
    auto const third = log.grant(router(3), season, 70);
    cr_assert_eq(log.state.find_grant(first)->amount, 70);
    cr_assert_eq(log.state.find_grant(second)->amount, 30);
    cr_assert_null(log.state.find_grant(third));
    cr_assert_eq(log.state.find_budget(season)->demand_tokens_per_s.size(), 3);
}

// Guards against counting a top-up twice when two routers append it, and against an old total that
// arrives late.
Test(budget_shard, limit_follows_document_version)
{
    stream log = create_stream(100);
    log.append(router(1), limit_of(season, 300, 3));
    log.append(router(2), limit_of(season, 300, 3));
    log.append(router(2), limit_of(season, 200, 2));
    cr_assert_eq(log.state.find_budget(season)->total, 300);
    cr_assert_eq(log.state.find_budget(season)->unallocated(), 300);
}

// Guards against reclaiming tokens from a router that may still spend them.
Test(budget_shard, smaller_total_reclaims_only_unallocated)
{
    stream log = create_stream(100);
    auto const grant = log.grant(router(1), season, 60);
    log.append(router(1), limit_of(season, 20, 2));
    cr_assert_eq(log.state.find_budget(season)->unallocated(), 0);
    cr_assert_eq(log.state.find_grant(grant)->amount, 60);
}

// Guards against returns from a router other than the holder, of billed tokens, or counted twice.
Test(budget_shard, returns_are_limited)
{
    stream log = create_stream(100);
    auto const grant = log.grant(router(1), season, 60);
    log.append(router(1), usage_of(1, grant, 25, log.time_ms));
    log.append(router(2), return_record{grant, 10});
    cr_assert_eq(log.state.find_grant(grant)->amount, 60);
    auto const offset = log.append(router(1), return_record{grant, 10});
    cr_assert_eq(log.state.find_budget(season)->charged, 50);
    log.store(log.records[offset].record);
    cr_assert_eq(log.state.find_budget(season)->charged, 50);
    log.append(router(1), return_record{grant, 1000});
    cr_assert_null(log.state.find_grant(grant));
    cr_assert_eq(log.state.find_budget(season)->charged, 25);
    cr_assert_eq(log.state.find_budget(season)->settled, 25);
}

// Guards against overspend when a return record is appended again after its writer was idle for a
// day, and lowers the grant twice.
Test(budget_shard, holder_stays_known_while_idle)
{
    stream log = create_stream(100);
    auto const grant = log.grant(router(1), season, 60);
    auto const offset = log.append(router(1), return_record{grant, 10});
    for (int n = 0; n < 4; ++n)
    {
        log.time_ms += 20 * hour_ms;
        log.append(router(2), limit_of(season, 100, 2 + n));
    }
    log.store(log.records[offset].record);
    cr_assert_eq(log.state.find_grant(grant)->amount, 50);
}

// Guards against memory growth with every router incarnation that ever wrote.
Test(budget_shard, idle_writers_are_forgotten)
{
    stream log = create_stream(100);
    log.append(router(9), grant_record{practice, 5, 5});
    cr_assert(log.state.has_applied(router(9), 1));
    log.time_ms += 25 * hour_ms;
    log.append(router(1), limit_of(season, 100, 2));
    cr_assert_not(log.state.has_applied(router(9), 1));
}

// Guards against billing usage beyond a grant, under a grant of another account's budget, or with
// parts that fit one by one but not together.
Test(budget_shard, usage_stays_within_its_grants)
{
    stream log = create_stream(100);
    auto const grant = log.grant(router(1), season, 60);
    usage_item item{request(1), log.time_ms, {{grant, 40}, {grant, 40}}};
    log.append(router(1), usage_record{{item}});
    cr_assert_eq(log.state.refusals().usage_beyond_grant, 1);
    item.request.account.account = "other";
    item.parts.pop_back();
    log.append(router(1), usage_record{{item}});
    cr_assert_eq(log.state.refusals().invalid, 1);
    log.append(router(1), usage_of(2, grant, 60, log.time_ms));
    cr_assert_null(log.state.find_grant(grant));
    cr_assert_eq(log.state.find_budget(season)->settled, 60);
    cr_assert_eq(log.state.find_budget(season)->billed, 60);
}

// Guards against billing a request again after its key has expired, and against a key that expires
// while a repeat could still be accepted.
Test(budget_shard, late_usage_is_refused)
{
    stream log = create_stream(100);
    auto const grant = log.grant(router(1), season, 60);
    auto const item = usage_of(1, grant, 10, log.time_ms);
    log.append(router(1), item);
    log.time_ms += 11 * hour_ms;
    log.append(router(2), item);
    cr_assert_eq(log.state.refusals().duplicate_usage, 1);
    log.time_ms += 20 * hour_ms;
    log.append(router(2), item);
    cr_assert_eq(log.state.refusals().late_usage, 1);
    cr_assert_eq(log.state.find_budget(season)->billed, 10);
    cr_assert_null(log.state.find_request(request(1)));
}

// Guards against billing a request twice because its item states a start in the future.
Test(budget_shard, future_usage_is_refused)
{
    stream log = create_stream(100);
    auto const grant = log.grant(router(1), season, 60);
    log.append(router(1), usage_of(1, grant, 10, log.time_ms + 13 * hour_ms));
    cr_assert_eq(log.state.refusals().invalid, 1);
    cr_assert_eq(log.state.find_budget(season)->billed, 0);
}

// Guards against releasing tokens of a closed grant that an agent may still be spending.
Test(budget_shard, recovery_needs_all_reports)
{
    stream log = create_stream(100);
    log.append(router(2), agent_start_record{agent(0, 1), "m0"});
    log.append(router(2), agent_stop_record{agent(0, 1)});
    log.append(router(2), agent_start_record{agent(1, 1), "m1"});
    auto const grant = log.grant(router(1), season, 60);
    log.append(router(2), agent_start_record{agent(2, 1), "m2"});
    log.append(router(2), recover_record{grant, {agent(1, 1), agent(2, 1)}});
    cr_assert_eq(log.state.find_grant(grant)->state, grant_state::open);
    log.append(router(2), close_record{grant, "holder gone"});
    log.append(router(2), agent_start_record{agent(3, 1), "m3"});
    auto const required = log.state.required_reports(grant);
    cr_assert(required == (std::vector{agent(1, 1), agent(2, 1)}));
    log.append(router(1), usage_of(1, grant, 25, log.time_ms));
    log.append(router(2), recover_record{grant, {agent(1, 1), agent(3, 1)}});
    cr_assert_not_null(log.state.find_grant(grant));
    log.append(router(2), recover_record{grant, required});
    cr_assert_null(log.state.find_grant(grant));
    cr_assert_eq(log.state.find_budget(season)->charged, 25);
    log.append(router(1), usage_of(2, grant, 5, log.time_ms));
    cr_assert_eq(log.state.refusals().usage_of_recovered_grant, 1);
    cr_assert_eq(log.state.find_budget(season)->billed, 25);
}

// Guards against releasing tokens that a replaced agent incarnation may have spent. Its successor
// cannot report for it.
Test(budget_shard, superseded_agent_counts_only_with_its_report)
{
    stream log = create_stream(100);
    log.append(router(2), agent_start_record{agent(1, 1), "m1"});
    log.append(router(2), agent_start_record{agent(2, 1), "m2"});
    auto const grant = log.grant(router(1), season, 60);
    log.append(router(2), close_record{grant, "holder gone"});
    log.append(router(2), recover_record{grant, {agent(1, 1)}});
    log.append(router(2), agent_start_record{agent(1, 2), "m1"});
    log.append(router(2), agent_start_record{agent(2, 2), "m2"});
    cr_assert_geq(log.state.agents().at(agent(1, 1)).stopped_at, 0);
    cr_assert(log.state.required_reports(grant) == (std::vector{agent(2, 1)}));
    log.append(router(3), recover_record{grant, {agent(1, 2), agent(2, 2)}});
    cr_assert_not_null(log.state.find_grant(grant));
    log.append(router(3), recover_record{grant, {agent(2, 1)}});
    cr_assert_null(log.state.find_grant(grant));
}

// Guards against tokens staying charged forever after an agent was stopped as planned between the
// grant and its recovery. A drained agent has no usage left to report.
Test(budget_shard, drained_agent_needs_no_report)
{
    stream log = create_stream(100);
    log.append(router(2), agent_start_record{agent(1, 1), "m1"});
    auto const grant = log.grant(router(1), season, 60);
    log.append(router(2), agent_stop_record{agent(1, 1)});
    log.append(router(2), agent_start_record{agent(1, 2), "m1"});
    log.append(router(2), close_record{grant, "holder gone"});
    cr_assert(log.state.required_reports(grant) == (std::vector{agent(1, 2)}));
    cr_assert(restore_from_json(log.state).required_reports(grant) == (std::vector{agent(1, 2)}));
    log.append(router(2), recover_record{grant, {agent(1, 2)}});
    cr_assert_eq(log.state.find_budget(season)->unallocated(), 100);
}

// Guards against removing a stopped agent incarnation while a grant needs its report, and against a
// registry that grows with each restart.
Test(budget_shard, ended_agents_are_kept_for_open_grants)
{
    stream log = create_stream(100);
    log.append(router(2), agent_start_record{agent(1, 1), "m1"});
    auto const grant = log.grant(router(1), season, 60);
    log.append(router(2), agent_start_record{agent(1, 2), "m1"});
    log.time_ms += 30 * hour_ms;
    log.append(router(2), close_record{grant, "holder gone"});
    cr_assert(log.state.required_reports(grant) == (std::vector{agent(1, 1), agent(1, 2)}));
    log.append(router(2), recover_record{grant, {agent(1, 1), agent(1, 2)}});
    log.append(router(2), limit_of(season, 100, 2));
    cr_assert_eq(log.state.agents().size(), 1);
}

// Guards against a late start record that revives a stopped incarnation.
Test(budget_shard, ended_agent_does_not_return)
{
    stream log = create_stream(100);
    log.append(router(1), agent_start_record{agent(1, 1), "m1"});
    log.append(router(1), agent_start_record{agent(1, 2), "m1"});
    log.append(router(2), agent_start_record{agent(1, 1), "m1"});
    cr_assert_geq(log.state.agents().at(agent(1, 1)).stopped_at, 0);
    cr_assert_eq(log.state.agents().at(agent(1, 2)).stopped_at, -1);
}

// Guards against two routers dispatching the same non-idempotent request, and against a second
// attempt without proof that the first one did not run.
Test(budget_shard, intents_void_and_attempts)
{
    stream log = create_stream(100);
    auto const intent = [&log](int attempt, int n) {
        return intent_record{request(1), attempt, agent(n, 1), "f", log.time_ms};
    };
    log.append(router(2), intent(2, 2));
    cr_assert_null(log.state.find_request(request(1)));
    log.append(router(1), intent(1, 1));
    log.append(router(2), intent(1, 2));
    log.append(router(2), intent(2, 2));
    cr_assert(log.state.find_request(request(1))->intent->agent == agent(1, 1));
    log.append(router(2), void_record{request(1), 2});
    cr_assert(log.state.find_request(request(1))->intent);
    log.append(router(2), void_record{request(1), 1});
    cr_assert_not(log.state.find_request(request(1))->intent);
    log.append(router(1), intent(1, 1));
    cr_assert_not(log.state.find_request(request(1))->intent);
    log.append(router(2), intent(2, 2));
    cr_assert(log.state.find_request(request(1))->intent->agent == agent(2, 1));
}

// Guards against two outcomes for one request, voiding an attempt after its outcome, and an attempt
// of a request that already ran.
Test(budget_shard, first_outcome_is_kept)
{
    stream log = create_stream(100);
    auto const outcome = [](outcome_state state, char const* text) {
        return outcome_record{request(1), 1, state, 200, "text/plain", text};
    };
    log.append(router(1), outcome(outcome_state::completed, "no intent"));
    cr_assert_null(log.state.find_request(request(1)));
    log.append(router(1), intent_record{request(1), 1, agent(1, 1), "f", log.time_ms});
    log.append(router(1), outcome(outcome_state::unknown, ""));
    log.append(router(2), void_record{request(1), 1});
    cr_assert(log.state.find_request(request(1))->intent);
    log.append(router(1), outcome(outcome_state::completed, "first"));
    log.append(router(2), outcome(outcome_state::completed, "second"));
    log.append(router(2), outcome(outcome_state::unknown, ""));
    cr_assert_eq(log.state.find_request(request(1))->outcome->body, "first");
    log.append(router(2), intent_record{request(1), 2, agent(2, 1), "f", log.time_ms});
    cr_assert_eq(log.state.find_request(request(1))->intent->attempt, 1);
}

// Guards against routers running out of memory. Almost all request keys belong to idempotent work,
// and inline space for an intent and an outcome doubled the memory of the keys.
Test(budget_shard, billed_request_keys_hold_no_space_for_intents)
{
    cr_assert_leq(sizeof(request_entry), 96U, "request_entry has %zu bytes", sizeof(request_entry));
}

// Guards against later records changing a copy of the state, such as a snapshot.
Test(budget_shard, copies_keep_their_intents_and_outcomes)
{
    stream log = create_stream(100);
    outcome_record outcome{request(1), 1, outcome_state::unknown, 200, "text/plain", ""};
    log.append(router(1), intent_record{request(1), 1, agent(1, 1), "f", log.time_ms});
    log.append(router(1), outcome);
    budget_shard_state const copy = log.state;
    auto const before = copy.to_json();
    outcome.state = outcome_state::completed;
    outcome.body = "answer";
    log.append(router(1), outcome);
    cr_assert_eq(log.state.find_request(request(1))->outcome->body, "answer");
    cr_assert(copy.find_request(request(1))->outcome->state == outcome_state::unknown);
    cr_assert(copy.to_json() == before);
}

// Guards against a key that expires a day after its first record instead of its last one.
Test(budget_shard, each_record_extends_the_key)
{
    stream log = create_stream(100);
    log.append(router(1), intent_record{request(1), 1, agent(1, 1), "f", log.time_ms});
    log.time_ms += 20 * hour_ms;
    log.append(router(1), outcome_record{request(1), 1, outcome_state::unknown, 0, "", ""});
    log.time_ms += 10 * hour_ms;
    log.append(router(1), limit_of(season, 100, 2));
    cr_assert_not_null(log.state.find_request(request(1)));
}

// Guards against a late intent that lets a request run again after its key has expired.
Test(budget_shard, late_intent_is_refused)
{
    stream log = create_stream(100);
    log.append(
        router(1), intent_record{request(1), 1, agent(1, 1), "f", log.time_ms - 13 * hour_ms});
    cr_assert_null(log.state.find_request(request(1)));
    cr_assert_eq(log.state.refusals().late_intent, 1);
}

// Guards against a damaged or misplaced record that stops folding or moves the position back.
Test(budget_shard, unparsed_and_foreign_records_are_counted)
{
    stream log = create_stream(100);
    log.append(router(1), publish_record{});
    budget_id const foreign{{"sandshare", "account-of-another-shard"}, "season"};
    cr_assert_neq(shard_of(foreign.account), shard);
    log.append(router(1), limit_of(foreign, 5, 1));
    cr_assert_eq(log.state.refusals().invalid, 2);
    log.state.skip(3, log.time_ms);
    log.state.skip(3, log.time_ms);
    log.state.advance(1);
    cr_assert_eq(log.state.offset(), 3);
    cr_assert_eq(restore_from_json(log.state).refusals().unparsed, 1);
}

// Guards against restoring a peer's damaged snapshot.
Test(budget_shard, damaged_snapshot_is_refused)
{
    stream log = create_stream(100);
    log.grant(router(1), season, 60);
    Json::Value value = log.state.to_json();
    value["budgets"][0]["charged"] = 10;
    cr_assert_not(budget_shard_state::from_json(value).ok());
    value = log.state.to_json();
    value["budgets"].clear();
    cr_assert_not(budget_shard_state::from_json(value).ok());
    cr_assert_not(budget_shard_state::from_json(Json::Value()).ok());
}

namespace {

constexpr char const* document_text = R"({"service":"sandshare","version_note":"first",
 "budgets":[{"account":"dune-masters","name":"season","total_tokens":2000000}],
 "client_accounts":[{"name":"dune-masters","key_sha256":["KEY"]}],
 "kinds":[{"name":"guidance","priority":0,"deadline_ms":1300,"pool":"models",
           "path":"/v1/chat/completions","max_output_tokens":512,"idempotent":true,
           "models":["carver-8b"]}],
 "pools":[{"name":"models","upstreams":[{"name":"m1","models":["carver-8b"],"slots":8}]}]})";

Json::Value document_of(std::string const& service, char key)
{
    std::string text = document_text;
    text.replace(text.find("KEY"), 3, std::string(64, key));
    Json::Value document = parse_json(text).value();
    document["service"] = service;
    return document;
}

// Configuration stream and its folded state.
class configuration_stream
{
public:
    std::int64_t append(process_id const& writer, record_body body)
    {
        records.push_back(
            {static_cast<std::int64_t>(records.size()),
             static_cast<std::int64_t>(records.size()) * 10,
             {writer, static_cast<std::int64_t>(records.size()), std::move(body)}});
        state.apply(records.back());
        return records.back().offset;
    }

    std::vector<stored_record> records;
    configuration_state state;
};

publish_record publication(std::int64_t base_version, char key = 'a')
{
    return {"sandshare", base_version, document_of("sandshare", key), "ops"};
}

crash_report_record crash(std::string const& fingerprint, int incarnation)
{
    return {fingerprint, "m1", to_text(agent(1, incarnation)), request(1)};
}

} // namespace

// Guards against two operators overwriting each other's version by publishing at the same time.
Test(configuration, first_publication_in_log_order_wins)
{
    configuration_stream log;
    auto const first = log.append(router(1), publication(0, 'a'));
    auto const second = log.append(router(2), publication(0, 'b'));
    auto const* current = log.state.find_document("sandshare");
    cr_assert_eq(current->version, 1);
    cr_assert_eq(current->offset, first);
    cr_assert_not_null(current->document->find_account_by_key(std::string(64, 'a')));
    cr_assert(log.state.find_publish_result(router(1), first)->is_accepted);
    auto const* rejected = log.state.find_publish_result(router(2), second);
    cr_assert_not(rejected->is_accepted);
    cr_assert_eq(rejected->version, 1);
    cr_assert_eq(rejected->reason, "base version 0 is not the current version 1");
    log.append(router(2), publication(1, 'b'));
    cr_assert_eq(log.state.find_document("sandshare")->version, 2);
}

// Guards against a publication conflicting with itself when it is appended again after a lost
// response.
Test(configuration, repeated_publication_keeps_its_result)
{
    configuration_stream log;
    auto const offset = log.append(router(1), publication(0));
    log.state.apply({1, 10, log.records[0].record});
    cr_assert(log.state.find_publish_result(router(1), offset)->is_accepted);
    cr_assert_eq(log.state.refusals().repeats, 1);
    cr_assert_eq(log.state.refusals().rejected_publishes, 0);
}

// Guards against applying an invalid document, a document of another service, or a key that belongs
// to two client accounts.
Test(configuration, invalid_documents_are_rejected)
{
    configuration_stream log;
    log.append(router(1), publication(0, 'a'));
    publish_record damaged = publication(1);
    damaged.document["kinds"][0]["pool"] = "absent";
    log.append(router(1), damaged);
    publish_record renamed = publication(1);
    renamed.document["service"] = "postage";
    log.append(router(1), renamed);
    log.append(router(1), publish_record{"postage", 0, document_of("postage", 'a'), "ops"});
    cr_assert_eq(log.state.refusals().rejected_publishes, 3);
    cr_assert_eq(log.state.documents().size(), 1);
    cr_assert_eq(log.state.find_document("sandshare")->version, 1);
    for (std::int64_t n = 1; n <= 3; ++n)
        cr_assert_not(log.state.find_publish_result(router(1), n)->reason.empty());
}

// Guards against blocking a request after a single crash that two routers reported.
Test(configuration, distinct_crashes_block_a_fingerprint)
{
    configuration_stream log;
    log.append(router(1), crash("f", 1));
    log.append(router(2), crash("f", 1));
    cr_assert_not(log.state.is_blocked("f"));
    log.append(router(2), crash("f", 2));
    cr_assert(log.state.is_blocked("f"));
    cr_assert_not(log.state.is_blocked("g"));
}

// Guards against memory growth with each crash report, and against evicting a blocked fingerprint
// before others.
Test(configuration, fingerprints_are_bounded)
{
    configuration_stream log;
    log.append(router(1), crash("blocked", 1));
    log.append(router(1), crash("blocked", 2));
    for (std::size_t n = 0; n < configuration_state::fingerprint_limit + 10; ++n)
        log.append(router(1), crash("f" + std::to_string(n), 1));
    cr_assert_eq(log.state.crashes().size(), configuration_state::fingerprint_limit);
    cr_assert(log.state.is_blocked("blocked"));
    cr_assert_not(log.state.crashes().contains("f0"));
}

// Guards against agents and restarted routers with a state that differs from that of a router that
// read the whole stream.
Test(configuration, random_histories_fold_equally)
{
    cr_assert(rc::check(
        "a state restored from a snapshot equals the uninterrupted one",
        []
        {
            configuration_stream log;
            for (int const n : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30)))
            {
                if (n < 10)
                    log.append(router(n % 3), publication(n / 2));
                else
                    log.append(router(n % 3), crash(std::to_string(n % 4), n % 5));
                if (n == 29)
                    log.state.apply({log.state.offset() + 1, 5, log.records.back().record});
            }
            auto const& records = log.records;
            std::size_t const cut = *rc::gen::inRange<std::size_t>(0, records.size() + 1);
            configuration_state whole;
            configuration_state first;
            for (std::size_t i = 0; i < records.size(); ++i)
            {
                if (i == cut)
                    first = restore_from_json(first);
                whole.apply(records[i]);
                first.apply(records[i]);
                first.apply(records[i]);
            }
            RC_ASSERT(first.to_json() == whole.to_json());
            RC_ASSERT(restore_from_json(whole).to_json() == whole.to_json());
        }));
}

namespace {

Json::Value state_of(int size)
{
    Json::Value state(Json::objectValue);
    for (int n = 0; n < size; ++n)
        state["member-" + std::to_string(n)] = "é€😀\"" + std::to_string(n);
    return state;
}

} // namespace

// Guards against parts larger than the log accepts, and against splitting a character, which the
// JSON form of the part would alter.
Test(checkpoint, parts_are_bounded_and_whole)
{
    cr_assert(rc::check(
        "parts in any order, with repeats, give the state back",
        []
        {
            Json::Value const state = state_of(*rc::gen::inRange(0, 30));
            auto const part_bytes = *rc::gen::inRange<std::size_t>(4, 64);
            auto parts = split_checkpoint("c1", 9, state, part_bytes);
            auto const order = *rc::gen::container<std::vector<std::size_t>>(
                rc::gen::inRange<std::size_t>(0, parts.size()));
            checkpoint_collector collector;
            auto const add = [&](checkpoint_part const& part)
            {
                RC_ASSERT(part.state.size() <= part_bytes);
                Json::Value value = to_json(part);
                value["writer"] = "router-1@a";
                value["sequence"] = 1;
                auto const read = parse_checkpoint_part(parse_json(to_compact_json(value)).value());
                RC_ASSERT(read.ok() && *read == part);
                collector.add(*read, 70);
            };
            for (std::size_t const n : order)
                add(parts[n]);
            std::ranges::reverse(parts);
            for (auto const& part : parts)
                add(part);
            RC_ASSERT(collector.newest().has_value());
            RC_ASSERT(collector.newest()->state == state);
            RC_ASSERT(collector.newest()->through_offset == 9);
        }));
}

// Guards against starting from an incomplete checkpoint or from an older one.
Test(checkpoint, newest_complete_is_chosen)
{
    checkpoint_collector collector;
    auto const add = [&collector](auto const& parts, std::size_t count)
    {
        for (std::size_t n = 0; n < count; ++n)
            collector.add(parts[n], 70);
    };
    auto const newer = split_checkpoint("c3", 30, state_of(3), 8);
    add(split_checkpoint("c2", 20, state_of(2), 1000), 1);
    add(newer, newer.size() - 1);
    add(split_checkpoint("c1", 10, state_of(1), 1000), 1);
    cr_assert_eq(collector.newest()->through_offset, 20);
    collector.add(newer.back(), 80);
    cr_assert_eq(collector.newest()->through_offset, 30);
    cr_assert_eq(collector.newest()->time_ms, 80);
    cr_assert(collector.newest()->state == state_of(3));
}

// Guards against assembling a state from contradicting parts.
Test(checkpoint, damaged_checkpoint_is_discarded)
{
    checkpoint_collector collector;
    auto parts = split_checkpoint("c1", 10, state_of(3), 20);
    collector.add(parts[0], 70);
    auto changed = parts[0];
    changed.state = "{";
    collector.add(changed, 70);
    for (std::size_t n = 1; n < parts.size(); ++n)
        collector.add(parts[n], 70);
    cr_assert_not(collector.newest().has_value());
    collector.add({"c2", 0, 1, 20, "not JSON"}, 70);
    cr_assert_not(collector.newest().has_value());
}
