#include "capacity_configuration.hpp"

#include <almondcart/core/json.hpp>
#include <almondcart/ledger/configuration_state.hpp>

#include <algorithm>

#include "capacity_probe.hpp"
#include "capacity_samples.hpp"

namespace almondcart::bench {

namespace {

Json::Value create_kind()
{
    Json::Value kind;
    kind["name"] = "guidance";
    kind["priority"] = 0;
    kind["deadline_ms"] = 1'300;
    kind["pool"] = "models";
    kind["path"] = "/v1/chat/completions";
    kind["max_output_tokens"] = 512;
    kind["idempotent"] = true;
    kind["models"].append("carver-8b");
    return kind;
}

Json::Value create_pool(int upstreams)
{
    Json::Value pool;
    pool["name"] = "models";
    for (int n = 0; n < upstreams; ++n)
    {
        Json::Value upstream;
        upstream["name"] = sample_upstream(n);
        upstream["models"].append("carver-8b");
        upstream["role"] = "mixed";
        upstream["slots"] = 8;
        pool["upstreams"].append(upstream);
    }
    return pool;
}

Json::Value create_document(int budgets, int upstreams)
{
    Json::Value document;
    document["service"] = "sandshare";
    document["version_note"] = "Raise totals";
    for (int n = 0; n < budgets; ++n)
    {
        auto const id = sample_budget(n);
        Json::Value budget;
        budget["account"] = id.account.account;
        budget["name"] = id.budget;
        budget["total_tokens"] = 2'000'000'000;
        budget["preference"] = "false_refusals";
        document["budgets"].append(budget);
    }
    for (int n = 0; n < std::min(budgets, sample_accounts); ++n)
    {
        Json::Value account;
        account["name"] = sample_budget(n).account.account;
        account["key_sha256"].append(sample_fingerprint(n) + sample_fingerprint(n + budgets));
        document["client_accounts"].append(account);
    }
    document["kinds"].append(create_kind());
    document["pools"].append(create_pool(upstreams));
    return document;
}

} // namespace

Json::Value measure_configuration(int budgets, int upstreams)
{
    auto const document = create_document(budgets, upstreams);
    auto const first = sample_record(0, publish_record{"sandshare", 0, document, "operator"});
    auto const second = sample_record(1, publish_record{"sandshare", 1, document, "operator"});
    auto const text = to_compact_json(to_json(second));
    capacity_probe const parsing;
    auto const parsed = parse_record(*parse_json(text));
    Json::Value value;
    value["budgets"] = budgets;
    value["upstreams"] = upstreams;
    value["publish_bytes"] = Json::UInt64(text.size());
    value["publish_parse_ms"] = double(parsing.cpu_ns()) / 1e6;

    capacity_probe const first_apply;
    configuration_state state;
    state.apply({0, sample_start_ms, first});
    value["state_bytes"] = Json::Int64(first_apply.bytes());
    capacity_probe const second_apply;
    state.apply({1, sample_start_ms, *parsed});
    value["publish_fold_ms"] = double(second_apply.cpu_ns()) / 1e6;
    capacity_probe const writing;
    value["snapshot_bytes"] = Json::UInt64(to_compact_json(state.to_json()).size());
    value["snapshot_ms"] = double(writing.cpu_ns()) / 1e6;
    value["accepted"] = Json::Int64(state.documents().size());
    value["rejected"] = Json::Int64(state.refusals().rejected_publishes);
    return value;
}

} // namespace almondcart::bench
