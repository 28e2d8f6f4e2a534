#pragma once

#include <almondcart/ledger/records.hpp>
#include <almondcart/ledger/writer_sequences.hpp>

#include <json/json.h>

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
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

/// Grant, as folded from the log.
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
    std::set<process_id> reports;   ///< agent incarnations reported by incomplete recover records
};

/// Budget, as folded from the log.
struct budget_entry
{
    budget_id id;
    token_count total = 0;
    budget_preference preference = budget_preference::false_refusals;
    std::int64_t document_version = 0;
    token_count settled = 0; ///< billed under recovered and exhausted grants
    token_count charged = 0; ///< settled plus the amounts of open and closed grants
    token_count billed = 0;  ///< all billed tokens
    std::map<process_id, std::int64_t>
        demand_tokens_per_s;   ///< newest value reported by each holder
    std::set<grant_id> grants; ///< open and closed grants

    token_count unallocated() const { return total > charged ? total - charged : 0; }
};

/// Request, as folded from the log. Kept for the request key window. Intent and outcome are stored
/// outside the entry, because nearly all entries belong to idempotent work, which has neither. They
/// are immutable, so that copies of the state can share them.
struct request_entry
{
    bool is_billed = false;
    std::int64_t billed_offset = -1;
    token_count billed_tokens = 0;
    std::shared_ptr<intent_record const> intent; ///< current attempt, or null
    std::int64_t intent_offset = -1;
    int voided_attempts = 0;                       ///< attempts 1 to n were voided
    std::shared_ptr<outcome_record const> outcome; ///< null until an outcome record is folded
    std::int64_t last_time_ms = 0;                 ///< log time of the last record
};

/// Agent incarnation registered on this shard.
struct agent_entry
{
    process_id id;
    std::string upstream;
    std::int64_t started_at = -1; ///< offset of agent_start
    std::int64_t stopped_at = -1; ///< offset of agent_stop or of a newer start, -1 while running
    std::int64_t stopped_ms = -1; ///< log time of `stopped_at`
    /// Stopped by agent_stop. All work that ran on it is billed, so no report is needed.
    bool is_drained = false;
};

/// Counters of refused records. Each stays 0 except where noted.
struct shard_refusals
{
    std::int64_t duplicate_usage = 0; ///< request was already billed; expected after retries
    std::int64_t late_usage = 0;
    std::int64_t usage_of_recovered_grant = 0;
    std::int64_t usage_beyond_grant = 0; ///< a holder overdrew its grant, which is a bug
    std::int64_t late_intent = 0;
    std::int64_t invalid = 0; ///< violates a rule that every correct writer follows
    std::int64_t known_facts =
        0; ///< repeats or contradicts what was already decided; expected in races
    std::int64_t repeats = 0;  ///< same writer and sequence; expected after lost responses
    std::int64_t unparsed = 0; ///< not a valid record of this version

    friend bool operator==(shard_refusals const&, shard_refusals const&) = default;
};

/// State of one budget shard, folded from its stream in log order. It is deterministic: the same
/// records give equal states. Time is taken only from records.
class budget_shard_state
{
public:
    /// Retention of request keys, in milliseconds of log time.
    static constexpr std::int64_t request_key_window_ms = 86'400'000;

    explicit budget_shard_state(int shard);

    /// Applies the record. Offsets at or below `offset()` are ignored, so the state never goes
    /// back.
    void apply(stored_record const& record);

    /// Sets the position to `offset` if that is higher, without applying records.
    void advance(std::int64_t offset);

    /// Counts a record that could not be parsed and advances to its offset.
    void skip(std::int64_t offset, std::int64_t time_ms);

    int shard() const { return shard_; }

    /// Offset of the last applied record, -1 if none.
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

    /// Agent incarnations whose reports are still missing before the closed grant can be recovered.
    std::vector<process_id> required_reports(grant_id const& id) const;

    /// Whether the record with this writer and sequence was applied. Valid only for records that
    /// the writer appended to this stream, because it compares with the writer's highest sequence.
    bool has_applied(process_id const& writer, std::int64_t sequence) const;

    /// Complete state for checkpoints and peers. Equal states have equal JSON forms.
    Json::Value to_json() const;

    /// Errors carry `malformed_request`.
    static absl::StatusOr<budget_shard_state> from_json(Json::Value const& value);

private:
    enum class usage_result
    {
        billed,
        duplicate,
        late,
        grant_recovered,
        beyond_grant,
        invalid,
    };

    using part_totals = std::map<grant_id, token_count>;

    void advance_to(std::int64_t offset, std::int64_t time_ms);
    void remove_expired();
    void remove_expired_requests();
    void remove_expired_agents();
    bool is_late(std::int64_t started_ms) const;
    bool belongs_to_shard(account_id const& account) const;
    bool holds_grant(process_id const& writer) const;

    void apply_record(log_record const& record);
    void apply_body(process_id const& writer, limit_record const& body);
    void apply_body(process_id const& writer, grant_record const& body);
    void apply_body(process_id const& writer, return_record const& body);
    void apply_body(process_id const& writer, usage_record const& body);
    void apply_body(process_id const& writer, close_record const& body);
    void apply_body(process_id const& writer, recover_record const& body);
    void apply_body(process_id const& writer, agent_start_record const& body);
    void apply_body(process_id const& writer, agent_stop_record const& body);
    void apply_body(process_id const& writer, intent_record const& body);
    void apply_body(process_id const& writer, void_record const& body);
    void apply_body(process_id const& writer, outcome_record const& body);
    void apply_body(process_id const& writer, publish_record const& body);
    void apply_body(process_id const& writer, crash_report_record const& body);

    usage_result try_bill(usage_item const& item);
    usage_result check_parts(account_id const& account, part_totals const& totals) const;
    void count_usage(usage_result result);
    void settle(grant_entry& grant);
    void recover(grant_entry& grant);
    void remove_grant(grant_entry const& grant);
    void forget_demand(budget_entry& budget, process_id const& holder);
    void end_agent(agent_entry& agent);
    void touch(request_id const& id, request_entry& entry);

    Json::Value recovered_to_json() const;
    void read_recovered(json_reader& reader);
    void read_members(json_reader& reader);
    absl::Status link_entries();

    int shard_;
    std::int64_t offset_ = -1;
    std::int64_t time_ms_ = 0;
    std::map<budget_id, budget_entry> budgets_;
    std::map<grant_id, grant_entry> grants_;
    std::map<request_id, request_entry> requests_;
    std::map<process_id, agent_entry> agents_;
    shard_refusals refusals_;
    writer_sequences writers_;

    /// Grants that were recovered within the request key window, with the log time of the recovery.
    /// Distinguishes usage of a recovered grant from usage beyond an exhausted one.
    std::map<grant_id, std::int64_t> recovered_;
    std::deque<std::pair<std::int64_t, grant_id>> recovered_expiry_;

    /// Requests by ascending log time. An element is stale if the request has a newer time.
    std::deque<std::pair<std::int64_t, request_id>> request_expiry_;

    /// Stopped agent incarnations by ascending log time of their stop.
    std::deque<std::pair<std::int64_t, process_id>> agent_expiry_;
};

} // namespace almondcart
