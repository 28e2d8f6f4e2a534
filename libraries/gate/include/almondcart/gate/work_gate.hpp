#pragma once

#include <almondcart/core/event_journal.hpp>
#include <almondcart/gate/attempt_fences.hpp>
#include <almondcart/gate/dispatch.hpp>
#include <almondcart/gate/frame.hpp>
#include <almondcart/gate/upstream_crash_monitor.hpp>
#include <almondcart/gate/usage_outbox.hpp>
#include <almondcart/gate/work_record.hpp>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace almondcart {

enum class request_state
{
    unknown,
    fenced,
    running,
    finished,
};

std::string_view name_of(request_state state);

/// Complete response of an upstream to one call.
struct upstream_response
{
    int status = 200;
    std::string content_type;
    std::string data; ///< body that was not passed to `add_output`
    /// Count reported by the upstream. Without it, the dispatch's `prompt_tokens` are charged,
    /// which are the fixed charge of a call to a plain service.
    std::optional<token_count> prompt_tokens;
    std::optional<token_count> output_tokens; ///< without it, the tokens of the output are charged
};

/// Why a started call ended without a complete response.
enum class call_failure
{
    connection_lost, ///< the connection was closed or reset, so the upstream may have crashed
    incomplete,      ///< the response ended early, or the agent stopped waiting for it
};

/// Result of `close_grant`.
struct closed_grant_report
{
    std::vector<usage_item> finished; ///< unacknowledged usage under the grant
    int running = 0;                  ///< requests that are still running under the grant
};

/// Admission gate in front of an upstream. All work for the upstream passes through it. The gate
/// refuses fenced work, attaches repeated requests to the first run, counts and caps tokens, and
/// keeps output and usage until the routers have received them.
///
/// A refusal fences the refused attempt, so that a late copy of the dispatch cannot start it. All
/// functions must be called from the same event loop. Hooks and readers may call the gate.
class work_gate
{
public:
    struct limits
    {
        int slots = 8;                       ///< requests that run concurrently
        std::size_t output_bytes = 33554432; ///< retained output of all requests
        std::size_t unacknowledged = 50'000; ///< usage items waiting for acknowledgement
        duration output_retention{120'000};  ///< after the later of end and acknowledgement
        /// Time after which idempotent work without a reader is cancelled. Until then, its client
        /// may return with the request key through another router.
        duration idle_retention{30'000};
        duration offer_after{5'000}; ///< time until unacknowledged usage is offered to a router
        /// Retention of the record that a request ran. For non-idempotent work it must not be
        /// shorter than the request key window.
        duration request_retention{3'600'000};
        duration non_idempotent_request_retention{86'400'000};
        attempt_fences::limits fences;
    };

    struct hooks
    {
        clock_function now;
        /// Starts the upstream call. Its events are reported with the same call number.
        std::function<void(std::uint64_t call, dispatch const& work)> start_call;
        /// Cancels the upstream call. The gate ignores its later events.
        std::function<void(std::uint64_t call)> cancel_call;
        /// Whether the service's configuration is known.
        std::function<bool(dispatch const& work)> is_configured;
        /// Whether the fleet has blocked the fingerprint.
        std::function<bool(std::string const& fingerprint)> is_blocked;
        /// Offers usage items to a router, to a different one each time.
        std::function<void(std::vector<usage_item> const& items)> offer_usage;
        /// Creates the data of the final frame of output that was truncated at the cap.
        std::function<std::string(dispatch const& work)> create_truncation_data;
        std::function<void(event entry)> record_event;
    };

    static constexpr std::size_t offer_batch_limit = 500;

    /// `monitor` must outlive the gate. Without `is_configured`, every service counts as
    /// configured, and without `is_blocked`, no fingerprint is blocked.
    work_gate(process_id self, limits limits, hooks hooks, upstream_crash_monitor& monitor);

    /// Runs the work, attaches to it, or refuses it. Returns the reader's number for `detach`, or 0
    /// if the last line has already been delivered.
    std::uint64_t serve(dispatch const& work, work_reader deliver);

    /// Removes a reader, which then receives no more lines.
    void detach(std::uint64_t reader);

    /// Events of upstream calls. Events of unknown calls are ignored.
    void add_output(std::uint64_t call, std::string data, token_count tokens);
    void finish(std::uint64_t call, upstream_response response);
    /// The call ended without a complete response. It may have run.
    void fail(
        std::uint64_t call,
        std::string_view detail,
        call_failure failure = call_failure::connection_lost);
    /// The connection was refused before any byte was sent, which proves that the call did not run.
    void fail_before_start(std::uint64_t call, std::string_view detail);

    closed_grant_report close_grant(grant_id const& grant);
    request_state fence_request(request_id const& request, int attempt);
    request_state find_request(request_id const& request) const;
    /// Cancels running idempotent work. Non-idempotent work is never cancelled.
    void cancel(request_id const& request);
    void acknowledge(std::vector<request_id> const& requests);

    /// Refuses new work from now on. Running work continues.
    void drain();
    bool is_leaving() const { return is_leaving_; }
    /// Whether, after `drain`, no work is running and all usage is acknowledged.
    bool is_drained() const;

    /// Applies retention times and offers unacknowledged usage. Call several times a second.
    void tick();

    process_id const& self() const { return self_; }
    int running() const { return static_cast<int>(calls_.size()); }
    int free_slots() const;
    std::size_t unacknowledged() const { return outbox_.size(); }
    std::size_t kept_output_bytes() const { return output_bytes_; }

    struct counters
    {
        std::int64_t started = 0;
        std::int64_t attached = 0;
        std::int64_t refused = 0;
        std::int64_t cut = 0;
        std::int64_t failed = 0;
        std::int64_t cancelled = 0;
        token_count billed_tokens = 0;
    };
    counters const& counts() const { return counts_; }

private:
    std::optional<work_refusal> check_new(dispatch const& work) const;
    std::optional<work_refusal> check_capacity(dispatch const& work) const;
    std::optional<work_refusal> check_attach(work_record const& record, dispatch const& work) const;
    bool may_run_again(work_record const& record, dispatch const& work) const;
    void refuse(dispatch const& work, work_refusal refusal, work_reader const& deliver);
    std::uint64_t start(dispatch const& work, work_reader deliver);
    std::uint64_t attach(work_record& record, dispatch const& work, work_reader deliver);

    work_record* find_call(std::uint64_t call);
    void deliver_to_all(request_id const& request, work_line const& line, std::int64_t number);
    void truncate_output(work_record& record);
    bool exceeds_output_share(work_record const& record) const;
    void end_record(work_record& record, final_frame last);
    void end_failed(work_record& record, result_code code, std::string_view detail);
    void cancel_call(work_record& record, std::string_view detail);
    void bill(work_record& record);

    void apply_retention(request_id const& request);
    void schedule_retention_check(request_id const& request, instant at);
    void drop_output(work_record& record);
    void enforce_output_limit();
    bool has_finished_output(request_id const& request) const;
    bool uses_grant(work_record const& record, grant_id const& grant) const;
    void record_event(std::string_view name, request_id const& request, std::string detail) const;

    process_id self_;
    limits limits_;
    hooks hooks_;
    upstream_crash_monitor& monitor_;
    attempt_fences fences_;
    usage_outbox outbox_;
    /// Closed grants. They are never removed, because a paused router may resume and use one after
    /// any length of time.
    std::set<grant_id> closed_grants_;
    std::map<request_id, work_record> records_;
    std::map<std::uint64_t, request_id> calls_;
    std::map<std::uint64_t, request_id> readers_;
    std::multimap<instant, request_id> retention_checks_;
    std::deque<request_id> finished_order_;
    std::size_t output_bytes_ = 0;
    std::uint64_t next_call_ = 1;
    std::uint64_t next_reader_ = 1;
    bool is_leaving_ = false;
    counters counts_;
};

} // namespace almondcart
