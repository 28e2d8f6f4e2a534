#include "capacity_shards.hpp"

#include <almondcart/core/json.hpp>
#include <almondcart/ledger/checkpoint.hpp>

#include <algorithm>
#include <random>

#include "capacity_probe.hpp"
#include "capacity_samples.hpp"
#include "shard_loader.hpp"

namespace almondcart::bench {

namespace {

constexpr int single_usages = 16'000;
constexpr int batched_usages = 1'000;
constexpr int batch_items = 16;
constexpr int intents = 4'000;
constexpr int closes = 1'000;
constexpr int agents_per_shard = 20;
constexpr token_count grant_tokens = 1'000'000'000;
constexpr std::size_t part_bytes = std::size_t{64} << 10U;

/// Loads the shards with the records of a deployment with `budgets` budgets.
class shard_load
{
public:
    shard_load(int budgets, std::uint64_t seed)
        : budgets_(budgets)
        , random_(seed)
    {}

    void add_records()
    {
        for (int n = 0; n < budgets_; ++n)
        {
            auto const budget = sample_budget(n);
            loader_.add(shard_of(budget.account), limit_record{budget, 4 * grant_tokens, {}, 1});
        }
        loader_.apply_prepared("limit");
        for_each_agent(
            [&](int shard, int n) {
                loader_.add(shard, agent_start_record{sample_agent(n), sample_upstream(n)});
            });
        loader_.apply_prepared("agent_start");
        add_grants();
        add_usage();
        add_intents();
    }

    /// Adds the records that close grants and stop agents. The snapshots are measured before.
    void add_closing_records()
    {
        auto const count = std::min(closes, budgets_);
        for (int n = 0; n < count; ++n)
            loader_.add(
                grants_[std::size_t(n)].shard, close_record{grants_[std::size_t(n)], "dead"});
        loader_.apply_prepared("close");
        recover_record recover;
        for (int n = 0; n < agents_per_shard; ++n)
            recover.reports.push_back(sample_agent(n));
        for (int n = 0; n < count; ++n)
        {
            recover.grant = grants_[std::size_t(n)];
            loader_.add(recover.grant.shard, recover);
        }
        loader_.apply_prepared("recover");
        for_each_agent([&](int shard, int n)
                       { loader_.add(shard, agent_stop_record{sample_agent(n)}); });
        loader_.apply_prepared("agent_stop");
    }

    shard_loader const& loader() const { return loader_; }

private:
    template<typename Function>
    void for_each_agent(Function const& function)
    {
        for (int shard = 0; shard < budget_shard_count; ++shard)
        {
            for (int n = 0; n < agents_per_shard; ++n)
                function(shard, n);
        }
    }

    void add_grants()
    {
        for (int n = 0; n < budgets_; ++n)
        {
            auto const budget = sample_budget(n);
            auto const shard = shard_of(budget.account);
            grants_.push_back(
                {shard, loader_.add(shard, grant_record{budget, grant_tokens, 10'000})});
        }
        loader_.apply_prepared("grant");
    }

    usage_item random_usage(int budget)
    {
        return sample_usage(
            sample_request(sample_budget(budget).account, ++requests_),
            grants_[std::size_t(budget)]);
    }

    int random_budget() { return int(random_() % std::uint64_t(budgets_)); }

    void add_usage()
    {
        for (int n = 0; n < single_usages; ++n)
        {
            auto const budget = random_budget();
            loader_.add(grants_[std::size_t(budget)].shard, usage_record{{random_usage(budget)}});
        }
        loader_.apply_prepared("usage_1");
        for (int n = 0; n < batched_usages; ++n)
        {
            auto const budget = random_budget();
            usage_record record;
            for (int i = 0; i < batch_items; ++i)
                record.items.push_back(random_usage(budget));
            loader_.add(grants_[std::size_t(budget)].shard, std::move(record));
        }
        loader_.apply_prepared("usage_16");
    }

    void add_intents()
    {
        std::vector<request_id> requests;
        for (int n = 0; n < intents; ++n)
        {
            requests.push_back(sample_request(sample_budget(random_budget()).account, ++requests_));
            loader_.add(shard_of(requests.back().account), sample_intent(requests.back()));
        }
        loader_.apply_prepared("intent");
        for (int n = 0; n < intents; n += 2)
        {
            auto const& request = requests[std::size_t(n)];
            loader_.add(shard_of(request.account), sample_outcome(request));
        }
        loader_.apply_prepared("outcome_200");
        for (int n = 1; n < intents; n += 2)
        {
            auto const& request = requests[std::size_t(n)];
            loader_.add(shard_of(request.account), void_record{request, 1});
        }
        loader_.apply_prepared("void");
    }

    int budgets_;
    std::mt19937_64 random_;
    shard_loader loader_;
    std::vector<grant_id> grants_;
    std::int64_t requests_ = 0;
};

Json::Value measure_snapshots(std::vector<budget_shard_state> const& shards)
{
    std::int64_t bytes = 0;
    std::int64_t snapshot_ns = 0;
    std::int64_t restore_ns = 0;
    std::int64_t split_ns = 0;
    std::int64_t collect_ns = 0;
    std::int64_t parts = 0;
    bool is_equal = true;
    for (auto const& shard : shards)
    {
        capacity_probe const writing;
        auto const text = to_compact_json(shard.to_json());
        snapshot_ns += writing.cpu_ns();
        bytes += std::int64_t(text.size());

        capacity_probe const restoring;
        auto const value = parse_json(text);
        auto const restored = budget_shard_state::from_json(*value);
        restore_ns += restoring.cpu_ns();
        is_equal =
            is_equal && restored.ok() && restored->requests().size() == shard.requests().size();

        capacity_probe const splitting;
        auto const pieces = split_checkpoint("id", shard.offset(), *value, part_bytes);
        split_ns += splitting.cpu_ns();
        parts += std::int64_t(pieces.size());

        capacity_probe const collecting;
        checkpoint_collector collector;
        for (auto const& piece : pieces)
            collector.add(piece, 1);
        collect_ns += collecting.cpu_ns();
        is_equal = is_equal && collector.newest().has_value();
    }
    Json::Value value;
    value["snapshot_bytes"] = Json::Int64(bytes);
    value["snapshot_ms"] = double(snapshot_ns) / 1e6;
    value["restore_ms"] = double(restore_ns) / 1e6;
    value["checkpoint_parts"] = Json::Int64(parts);
    value["checkpoint_split_ms"] = double(split_ns) / 1e6;
    value["checkpoint_collect_ms"] = double(collect_ns) / 1e6;
    value["is_restored"] = is_equal;
    return value;
}

} // namespace

Json::Value measure_shards(int budgets, std::uint64_t seed)
{
    capacity_probe const probe;
    shard_load load(budgets, seed);
    load.add_records();
    Json::Value value;
    value["budgets"] = budgets;
    value["requests_kept"] = single_usages + batched_usages * batch_items + intents;
    value["snapshot"] = measure_snapshots(load.loader().shards());
    load.add_closing_records();
    value["records"] = load.loader().costs();
    std::int64_t refused = 0;
    for (auto const& shard : load.loader().shards())
    {
        auto const& refusals = shard.refusals();
        refused += refusals.invalid + refusals.usage_beyond_grant + refusals.late_usage +
                   refusals.duplicate_usage;
    }
    value["refused_records"] = Json::Int64(refused);
    return value;
}

Json::Value measure_registered_agents(int agents)
{
    budget_id const budget = sample_budget(0);
    auto const shard = shard_of(budget.account);
    shard_loader loader;
    for (int n = 0; n < agents; ++n)
        loader.add(shard, agent_start_record{sample_agent(n), sample_upstream(n)});
    loader.apply_prepared("agent_start");
    auto const& state = loader.shards()[std::size_t(shard)];
    Json::Value value;
    value["agents"] = agents;
    value["snapshot_bytes"] = Json::UInt64(to_compact_json(state.to_json()).size());
    loader.add(shard, limit_record{budget, 1'000, {}, 1});
    grant_id const grant{shard, loader.add(shard, grant_record{budget, 1'000, 10})};
    loader.add(shard, close_record{grant, "dead"});
    loader.apply_prepared("close");
    recover_record recover{grant, state.required_reports(grant)};
    value["required_reports"] = Json::UInt64(recover.reports.size());
    loader.add(shard, std::move(recover));
    loader.apply_prepared("recover");
    value["is_recovered"] = state.find_grant(grant) == nullptr;
    value["records"] = loader.costs();
    return value;
}

} // namespace almondcart::bench
