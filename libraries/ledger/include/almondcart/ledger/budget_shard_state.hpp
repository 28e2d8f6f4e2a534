#pragma once

#include <almondcart/ledger/records.hpp>

#include <json/json.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace almondcart {

enum class grant_state
{
    open,
    closed,
    recovered,
    exhausted,
};

std::string_view name_of(grant_state state);

/// Grant as folded from the log.
struct grant_entry
{
    grant_id id;
    budget_id budget;
    process_id holder;
    token_count amount = 0; ///< granted minus returned
    token_count billed = 0;
    grant_state state = grant_state::open;
    std::int64_t granted_at_ms = 0; ///< log time
    std::int64_t closed_at = -1;    ///< offset of the close record, -1 while open
};

/// Budget as folded from the log.
struct budget_entry
{
    budget_id id;
    token_count total = 0;
    budget_preference preference = budget_preference::false_refusals;
    std::int64_t document_version = 0;
    token_count settled = 0; ///< billed under recovered and exhausted grants
    token_count charged = 0; ///< settled plus the amounts of open and closed grants
    token_count billed = 0;  ///< all billed tokens
    std::map<process_id, std::int64_t> demand_tokens_per_s; ///< last stated by each holder
    std::set<grant_id> grants;                              ///< open and closed grants

    token_count unallocated() const { return total > charged ? total - charged : 0; }
};

/// Request as folded from the log, kept for the request key window.
struct request_entry
{
    bool is_billed = false;
    std::int64_t billed_offset = -1;
    token_count billed_tokens = 0;
    std::optional<intent_record> intent; ///< current attempt
    std::int64_t intent_offset = -1;
    int voided_attempts = 0; ///< attempts 1 to n were voided
    std::optional<outcome_record> outcome;
    std::int64_t last_time_ms = 0; ///< log time of the last record
};

/// Agent incarnation registered on this shard.
struct agent_entry
{
    process_id id;
    std::string upstream;
    std::int64_t started_at = -1; ///< offset of agent_start
    std::int64_t stopped_at = -1; ///< offset of agent_stop, -1 while running
};

/// Counters of records that the fold refused; each should stay 0 but for the named races.
struct shard_refusals
{
    std::int64_t duplicate_usage = 0; ///< same request billed before: expected after retries
    std::int64_t late_usage = 0;
    std::int64_t usage_of_recovered_grant = 0;
    std::int64_t usage_beyond_grant = 0; ///< a holder overdrew its grant: a fault of ours
    std::int64_t invalid = 0;
};

/// State of one budget shard, folded from its stream in log order. Deterministic: two folds of the
/// same records are equal. Takes time only from records.
class budget_shard_state
{
public:
    /// Retention of request keys, in milliseconds of log time.
    static constexpr std::int64_t request_key_window_ms = 86'400'000;

    explicit budget_shard_state(int shard);

    /// Folds the record. Offsets at or below `offset()` are ignored, so state never moves back.
    void apply(stored_record const& record);

    /// Notes that the stream was read up to `offset` even if those records could not be parsed.
    void advance(std::int64_t offset);

    int shard() const { return shard_; }

    /// Offset of the last folded record, -1 if none.
    std::int64_t offset() const { return offset_; }

    /// Newest log time seen, in milliseconds.
    std::int64_t time_ms() const { return time_ms_; }

    budget_entry const* find_budget(budget_id const& id) const;
    grant_entry const* find_grant(grant_id const& id) const; ///< open and closed grants only
    request_entry const* find_request(request_id const& id) const;

    std::map<budget_id, budget_entry> const& budgets() const { return budgets_; }
    std::map<grant_id, grant_entry> const& grants() const { return grants_; }
    std::map<process_id, agent_entry> const& agents() const { return agents_; }
    std::map<request_id, request_entry> const& requests() const { return requests_; }
    shard_refusals const& refusals() const { return refusals_; }

    /// Agent incarnations that must report before the closed grant can be recovered.
    std::vector<process_id> required_reports(grant_id const& id) const;

    /// Whether the shard has folded the record with this writer and sequence.
    bool has_folded(process_id const& writer, std::int64_t sequence) const;

    /// Whole state for checkpoints and peers.
    Json::Value to_json() const;
    static absl::StatusOr<budget_shard_state> from_json(Json::Value const& value);

private:
    int shard_;
    std::int64_t offset_ = -1;
    std::int64_t time_ms_ = 0;
    std::map<budget_id, budget_entry> budgets_;
    std::map<grant_id, grant_entry> grants_;
    std::map<request_id, request_entry> requests_;
    std::map<process_id, agent_entry> agents_;
    shard_refusals refusals_;
};

} // namespace almondcart
