#include <almondcart/core/json.hpp>
#include <almondcart/core/json_reader.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/forwarding/prepaid_ledger.hpp>

#include <algorithm>
#include <limits>
#include <set>

namespace almondcart::forwarding {

namespace {

constexpr char key_separator = '/';

} // namespace

std::string draw_record::key() const
{
    return owner.account + key_separator + owner.vm;
}

std::string draw_record::value() const
{
    Json::Value value(Json::objectValue);
    value["drawn_tokens"] = Json::Int64(drawn_tokens);
    value["writer"] = writer;
    value["sequence"] = Json::UInt64(sequence);
    value["demand_per_s"] = Json::Int64(demand_per_s);
    value["spent_tokens"] = Json::Int64(spending.spent_tokens);
    value["slack_tokens"] = Json::Int64(spending.slack_tokens);
    value["rate_per_s"] = Json::Int64(spending.rate_per_s);
    value["boot_ms"] = Json::Int64(written.boot_ms);
    value["wall_ms"] = Json::Int64(written.wall_ms);
    return to_compact_json(value);
}

absl::StatusOr<draw_record> draw_record::parse(std::string_view key, std::string_view value)
{
    auto const separator = key.rfind(key_separator);
    if (separator == std::string_view::npos)
        return make_status(result_code::malformed_request, "draw record with an unknown key");
    auto const json = parse_json(value);
    if (!json.ok())
        return json.status();
    draw_record record;
    record.owner = {std::string(key.substr(0, separator)), std::string(key.substr(separator + 1))};
    json_reader reader(*json, "draw record", result_code::malformed_request);
    constexpr auto maximum = std::numeric_limits<std::int64_t>::max();
    record.drawn_tokens = reader.integer("drawn_tokens", 0, maximum);
    record.writer = reader.string("writer");
    record.sequence = static_cast<std::uint64_t>(reader.integer("sequence", 0, maximum));
    record.demand_per_s = reader.integer("demand_per_s", 0, maximum);
    record.spending.spent_tokens = reader.integer("spent_tokens", 0, maximum);
    record.spending.slack_tokens = reader.integer("slack_tokens", 0, maximum);
    record.spending.rate_per_s = reader.integer("rate_per_s", 0, maximum);
    record.written.boot_ms = reader.integer("boot_ms", 0, maximum);
    record.written.wall_ms = reader.integer("wall_ms", 0, maximum);
    if (auto status = reader.finish(); !status.ok())
        return status;
    return record;
}

void prepaid_ledger::apply(std::int64_t offset, draw_record const& record)
{
    skip(offset);
    auto& owner = by_owner_[record.owner];
    if (offset <= owner.offset)
        return;
    auto& account = by_account_[record.owner.account];
    account.drawn_tokens += record.drawn_tokens - owner.record.drawn_tokens;
    account.demand_per_s += record.demand_per_s - owner.record.demand_per_s;
    owner = {record, offset};
    auto& sequence = sequences_[record.writer];
    sequence = std::max(sequence, record.sequence);
}

void prepaid_ledger::skip(std::int64_t offset)
{
    if (offset == end_)
        ++end_;
}

void prepaid_ledger::advance(std::int64_t end)
{
    end_ = std::max(end_, end);
}

std::int64_t prepaid_ledger::drawn(std::string_view account) const
{
    auto const it = by_account_.find(account);
    return it == by_account_.end() ? 0 : it->second.drawn_tokens;
}

std::int64_t prepaid_ledger::drawn_by(draw_owner const& owner) const
{
    auto const it = by_owner_.find(owner);
    return it == by_owner_.end() ? 0 : it->second.record.drawn_tokens;
}

std::int64_t prepaid_ledger::demand(std::string_view account) const
{
    auto const it = by_account_.find(account);
    return it == by_account_.end() ? 0 : it->second.demand_per_s;
}

std::int64_t prepaid_ledger::demand_of(draw_owner const& owner) const
{
    auto const it = by_owner_.find(owner);
    return it == by_owner_.end() ? 0 : it->second.record.demand_per_s;
}

std::size_t prepaid_ledger::active_vm_count() const
{
    std::set<std::string_view> vms;
    for (auto const& [owner, entry] : by_owner_)
    {
        if (entry.record.demand_per_s > 0)
            vms.insert(owner.vm);
    }
    return vms.size();
}

std::uint64_t prepaid_ledger::last_sequence(std::string_view writer) const
{
    auto const it = sequences_.find(writer);
    return it == sequences_.end() ? 0 : it->second;
}

} // namespace almondcart::forwarding
