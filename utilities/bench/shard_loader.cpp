#include "shard_loader.hpp"

#include "capacity_probe.hpp"
#include "capacity_samples.hpp"

namespace almondcart::bench {

shard_loader::shard_loader()
{
    for (int n = 0; n < budget_shard_count; ++n)
        shards_.emplace_back(n);
}

std::int64_t shard_loader::add(int shard, record_body body)
{
    auto const offset = next_offsets_[std::size_t(shard)]++;
    ++sequence_;
    prepared_.emplace_back(
        shard,
        stored_record{
            offset, sample_start_ms + sequence_ / 8, sample_record(sequence_, std::move(body))});
    return offset;
}

void shard_loader::apply_prepared(std::string const& name)
{
    capacity_probe const probe;
    for (auto const& [shard, record] : prepared_)
        shards_[std::size_t(shard)].apply(record);
    auto const cpu_ns = probe.cpu_ns();
    auto const bytes = probe.bytes();
    auto const count = double(prepared_.size());
    Json::Value cost;
    cost["name"] = name;
    cost["records"] = Json::UInt64(prepared_.size());
    cost["fold_ns"] = double(cpu_ns) / count;
    cost["state_bytes"] = double(bytes) / count;
    costs_.append(cost);
    prepared_.clear();
}

} // namespace almondcart::bench
