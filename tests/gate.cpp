#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/gate/chat_completion_assembler.hpp>
#include <almondcart/gate/dispatch.hpp>
#include <almondcart/gate/frame.hpp>
#include <almondcart/gate/heartbeat.hpp>
#include <almondcart/gate/order_fence.hpp>
#include <almondcart/gate/upstream_crash_monitor.hpp>
#include <almondcart/gate/usage_json.hpp>
#include <almondcart/gate/work_gate.hpp>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <deque>
#include <map>
#include <set>

using namespace almondcart;

namespace {

dispatch create_dispatch(std::string const& key, process_id agent = {"m1", "a"})
{
    dispatch value;
    value.agent = std::move(agent);
    value.request = {{"sandshare", "dune-masters"}, key};
    value.started_ms = 1000;
    value.grants = {{{3, 7}, 30}, {{3, 9}, 80}};
    value.kind = "guidance";
    value.prompt_tokens = 50;
    value.output_cap = 60;
    value.deadline_ms = 1300;
    value.is_stream = true;
    value.method = "POST";
    value.path = "/v1/chat/completions";
    value.content_type = "application/json";
    value.body = "{}";
    value.fingerprint = "f-" + key;
    value.config_offset = 5;
    return value;
}

dispatch create_non_idempotent(std::string const& key, int attempt = 1)
{
    auto value = create_dispatch(key);
    value.is_idempotent = false;
    value.intent_offset = 40 + attempt;
    value.attempt = attempt;
    return value;
}

/// Gate with a manual clock and an upstream that the test plays.
struct gate_bench
{
    using lines = std::vector<work_line>;

    explicit gate_bench(work_gate::limits limits = {})
        : monitor(
              {.now = clock.function(),
               .create_crash_id = [this] { return "crash-" + std::to_string(++crashes); },
               .crashed = {}})
        , gate(
              {"m1", "a"},
              limits,
              {.now = clock.function(),
               .start_call = [this](std::uint64_t call, dispatch const& work)
               { started.emplace_back(call, work); },
               .cancel_call = [this](std::uint64_t call) { cancelled.insert(call); },
               .is_configured = [this](dispatch const&) { return is_configured; },
               .is_blocked = [this](std::string const& it) { return blocked.contains(it); },
               .offer_usage =
                   [this](std::vector<usage_item> const& items)
               {
                   for (auto const& item : items)
                       ++offers[item.request];
               },
               .create_truncation_data = [](dispatch const&) { return std::string("cut"); },
               .record_event = {}},
              monitor)
    {}

    /// Serves the work; the lines appear in `received` at the returned index.
    std::size_t serve(dispatch const& work)
    {
        auto const n = received.size();
        received.emplace_back();
        readers.push_back(0);
        readers[n] =
            gate.serve(work, [this, n](work_line const& line) { received[n].push_back(line); });
        return n;
    }

    std::uint64_t last_call() const { return started.back().first; }

    result_code refused(std::size_t n) const
    {
        if (received[n].size() != 1)
            return result_code::ok;
        auto const* refusal = std::get_if<work_refusal>(&received[n].front());
        return refusal == nullptr ? result_code::ok : refusal->code;
    }

    final_frame last(std::size_t n) const
    {
        auto const* frame =
            received[n].empty() ? nullptr : std::get_if<final_frame>(&received[n].back());
        return frame == nullptr ? final_frame{} : *frame;
    }

    void pass(duration step)
    {
        clock.advance(step);
        gate.tick();
    }

    manual_clock clock;
    int crashes = 0;
    bool is_configured = true;
    std::set<std::string> blocked;
    std::vector<std::pair<std::uint64_t, dispatch>> started;
    std::set<std::uint64_t> cancelled;
    std::map<request_id, int> offers;
    std::deque<lines> received;
    std::deque<std::uint64_t> readers;
    upstream_crash_monitor monitor;
    work_gate gate;
};

upstream_response create_answer(token_count prompt, token_count output)
{
    upstream_response answer;
    answer.content_type = "application/json";
    answer.prompt_tokens = prompt;
    answer.output_tokens = output;
    return answer;
}

} // namespace

// Guards against a member that one side writes and the other does not read.
Test(dispatch, round_trips)
{
    auto value = create_dispatch("key-0001");
    value.attempt = 2;
    value.intent_offset = 44;
    value.from_frame = 3;
    value.is_suspect = true;
    auto const parsed = parse_dispatch(to_json(value));
    cr_assert(parsed.ok());
    cr_assert(*parsed == value);
}

// Guards against a misspelt or missing member being read as a default, for example a dropped cap.
Test(dispatch, refuses_unknown_and_missing_members)
{
    auto json = to_json(create_dispatch("key-0001"));
    json["output_limit"] = 3;
    cr_assert_eq(code_of(parse_dispatch(json).status()), result_code::malformed_request);
    json.removeMember("output_limit");
    json.removeMember("output_cap");
    cr_assert_eq(code_of(parse_dispatch(json).status()), result_code::malformed_request);
}

// Guards against output with line feeds or quotes splitting one frame into two lines.
Test(frame, round_trips_on_one_line)
{
    final_frame final;
    final.number = 4;
    final.code = result_code::upstream_failed;
    final.status = 502;
    final.content_type = "application/json";
    final.usage = {12, 30};
    final.started_ms = 1000;
    final.parts = {{{3, 7}, 30}, {{3, 9}, 12}};
    final.data = "second\nline";
    for (work_line const& line :
         {work_line(data_frame{3, "a \"b\"\n\xc3\xa9", 2}),
          work_line(final),
          work_line(work_refusal{result_code::request_fenced, "attempt 1", 2})})
    {
        auto const text = to_text(line);
        cr_assert_eq(text.find('\n'), text.size() - 1);
        auto const parsed = parse_work_line(text);
        cr_assert(parsed.ok());
        cr_assert(*parsed == line);
    }
}

// Guards against a grant being charged more than was reserved under it.
Test(usage, splits_over_grants_in_order)
{
    std::vector<grant_part> const grants{{{3, 7}, 30}, {{3, 9}, 80}};
    cr_assert(
        (split_over_grants(grants, 45) == std::vector<grant_part>{{{3, 7}, 30}, {{3, 9}, 15}}));
    cr_assert(split_over_grants(grants, 500) == grants);
    cr_assert(split_over_grants(grants, 0).empty());
}

// Guards against a heartbeat member that one side writes and the other does not read.
Test(heartbeat, round_trips)
{
    agent_heartbeat beat;
    beat.agent = {"m1", "a"};
    beat.upstream = "m1";
    beat.address = "127.0.0.1:9000";
    beat.is_leaving = true;
    beat.config_offset = 12;
    beat.running = 2;
    beat.free_slots = 6;
    beat.is_suspect_running = true;
    beat.cache_prefixes = {"00ff"};
    beat.crashes = {{"c1", {{{{"sandshare", "dune-masters"}, "key-0001"}, "f1", true}}}};
    cr_assert(parse_agent_heartbeat(to_json(beat)).value() == beat);
    agent_heartbeat_result const result{{"router-1", "b"}, 13, true};
    cr_assert(parse_agent_heartbeat_result(to_json(result)).value() == result);
}

// Guards against a caller without a stream receiving only part of the text, or other usage than
// what is billed.
Test(chat_completion_assembler, joins_chunks)
{
    chat_completion_assembler assembler;
    assembler.add(R"({"id":"c1","model":"carver-8b","choices":[{"delta":{"role":"assistant"}}]})");
    assembler.add(R"({"id":"c1","choices":[{"delta":{"content":"one "}}]})");
    assembler.add(
        R"({"id":"c1","choices":[{"delta":{"content":"two"},"finish_reason":"length"}]})");
    auto const body = parse_json(assembler.finish({4, 2})).value();
    cr_assert_eq(body["choices"][0]["message"]["content"].asString(), "one two");
    cr_assert_eq(body["choices"][0]["finish_reason"].asString(), "length");
    cr_assert_eq(body["usage"]["total_tokens"].asInt(), 6);
    cr_assert_eq(body["model"].asString(), "carver-8b");
}

// Guards against a retry with the same key running a second time, and against the second reader
// missing the frames that the first one got (I3, I5).
Test(work_gate, repeated_request_attaches)
{
    gate_bench bench;
    auto work = create_non_idempotent("key-0001");
    bench.serve(work);
    bench.gate.add_output(bench.last_call(), "a", 1);
    bench.gate.add_output(bench.last_call(), "b", 1);
    work.from_frame = 1;
    auto const second = bench.serve(work);
    bench.gate.add_output(bench.last_call(), "c", 1);
    bench.gate.finish(bench.last_call(), create_answer(40, 3));
    work.attempt = 2;
    work.from_frame = 0;
    auto const third = bench.serve(work);
    cr_assert_eq(bench.started.size(), 1);
    cr_assert_eq(bench.received[0].size(), 4);
    cr_assert_eq(bench.received[second].size(), 3);
    cr_assert(bench.received[third] == bench.received[0]);
}

// Guards against a key that is reused with another body returning the answer of the first body.
Test(work_gate, refuses_reused_key)
{
    gate_bench bench;
    auto work = create_dispatch("key-0001");
    bench.serve(work);
    work.fingerprint = "other";
    auto const second = bench.serve(work);
    cr_assert_eq(bench.refused(second), result_code::request_key_reused);
    cr_assert_eq(bench.gate.find_request(work.request), request_state::running);
}

// Guards against work reaching an upstream through a restarted agent, a closed grant, without
// intent or reservation, blocked, unconfigured or leaving.
Test(work_gate, refuses_what_must_not_run)
{
    gate_bench bench;
    auto const expect = [&](dispatch const& work, result_code code)
    { cr_assert_eq(bench.refused(bench.serve(work)), code); };
    expect(create_dispatch("key-0001", {"m1", "b"}), result_code::stale_incarnation);
    bench.gate.close_grant({3, 9});
    expect(create_dispatch("key-0002"), result_code::grant_closed);
    auto work = create_non_idempotent("key-0003");
    work.intent_offset = -1;
    expect(work, result_code::intent_not_durable);
    work = create_dispatch("key-0004");
    work.grants = {{{3, 7}, 109}};
    expect(work, result_code::malformed_request);
    work.request.key = "key-0005";
    work.grants = {{{3, 7}, 110}};
    work.fingerprint = "killer";
    bench.blocked.insert("killer");
    expect(work, result_code::request_crashes_upstreams);
    bench.is_configured = false;
    work.request.key = "key-0006";
    expect(work, result_code::not_ready);
    work.request.key = "key-0007";
    work.from_frame = 2;
    expect(work, result_code::answer_expired);
    bench.gate.drain();
    work.from_frame = 0;
    expect(work, result_code::upstream_leaving);
    cr_assert(bench.started.empty());
}

// Guards against a late copy of a refused dispatch starting after its caller was told "not run"
// (I4), and against the next attempt being refused for ever.
Test(work_gate, refused_attempt_never_starts)
{
    gate_bench bench;
    auto work = create_dispatch("key-0001");
    bench.is_configured = false;
    bench.serve(work);
    bench.is_configured = true;
    auto const second = bench.serve(work);
    cr_assert_eq(bench.refused(second), result_code::request_fenced);
    cr_assert_eq(std::get<work_refusal>(bench.received[second][0]).next_attempt, 2);
    work.attempt = 2;
    bench.serve(work);
    cr_assert_eq(bench.started.size(), 1);
}

// Guards against an attempt that was declared void on the log starting afterwards (I5).
Test(work_gate, fenced_attempt_never_starts)
{
    gate_bench bench;
    auto const work = create_non_idempotent("key-0001");
    cr_assert_eq(bench.gate.fence_request(work.request, 1), request_state::fenced);
    cr_assert_eq(bench.refused(bench.serve(work)), result_code::request_fenced);
    bench.serve(create_non_idempotent("key-0001", 2));
    cr_assert_eq(bench.started.size(), 1);
    cr_assert_eq(bench.gate.fence_request(work.request, 2), request_state::running);
    bench.gate.finish(bench.last_call(), create_answer(1, 0));
    cr_assert_eq(bench.gate.fence_request(work.request, 3), request_state::finished);
}

// Guards against an upstream that ignores its limit being delivered or billed beyond the cap (I1).
Test(work_gate, cuts_output_at_the_cap)
{
    gate_bench bench;
    auto work = create_dispatch("key-0001");
    work.output_cap = 3;
    bench.serve(work);
    auto const call = bench.last_call();
    for (auto const* text : {"a", "b", "c", "d", "e"})
        bench.gate.add_output(call, text, 1);
    bench.gate.finish(call, create_answer(500, 500));
    cr_assert_eq(bench.received[0].size(), 4);
    cr_assert_eq(bench.last(0).usage.output, 3);
    cr_assert_eq(bench.last(0).data, "cut");
    cr_assert(bench.cancelled.contains(call));
    auto const parts = bench.last(0).parts;
    cr_assert((parts == std::vector<grant_part>{{{3, 7}, 30}, {{3, 9}, 23}}));
}

// Guards against a lost run being billed: the request is billed once, and a billed request is not
// run again, so that its caller would never get a whole answer.
Test(work_gate, lost_idempotent_run_is_not_billed)
{
    gate_bench bench;
    bench.serve(create_dispatch("key-0001"));
    bench.gate.add_output(bench.last_call(), "a", 2);
    bench.gate.fail(bench.last_call(), "connection closed");
    cr_assert_eq(bench.last(0).code, result_code::upstream_lost);
    cr_assert(bench.last(0).parts.empty());
    cr_assert_eq(bench.last(0).usage.total(), 0);
    cr_assert_eq(bench.gate.unacknowledged(), 0);
}

// Guards against a stream that restarts with the output of a failed run, after which it could not
// be run again.
Test(work_gate, output_of_a_failed_run_is_not_repeated)
{
    gate_bench bench;
    auto const work = create_dispatch("key-0001");
    bench.serve(work);
    bench.gate.add_output(bench.last_call(), "a", 2);
    bench.gate.fail(bench.last_call(), "connection closed");
    auto const second = bench.serve(work);
    cr_assert_eq(bench.received[second].size(), 1);
    cr_assert_eq(bench.last(second).code, result_code::upstream_lost);
}

// Guards against a failed call billing its whole reservation, or nothing.
Test(work_gate, failed_call_bills_what_was_produced)
{
    gate_bench bench;
    bench.serve(create_dispatch("key-0001"));
    bench.gate.add_output(bench.last_call(), "a", 2);
    bench.gate.fail(bench.last_call(), "answer without end", call_failure::incomplete);
    cr_assert_eq(bench.last(0).code, result_code::upstream_failed);
    cr_assert((bench.last(0).parts == std::vector<grant_part>{{{3, 7}, 2}}));
    cr_assert_eq(bench.gate.unacknowledged(), 1);
}

// Guards against a refused connection being reported as work that may have run, and against its
// attempt running later.
Test(work_gate, refused_connection_did_not_run)
{
    gate_bench bench;
    auto const work = create_non_idempotent("key-0001");
    bench.serve(work);
    bench.gate.fail_before_start(bench.last_call(), "connection refused");
    cr_assert_eq(bench.refused(0), result_code::no_upstream);
    cr_assert_eq(bench.gate.free_slots(), 0);
    bench.monitor.probe_answered();
    cr_assert_eq(bench.refused(bench.serve(work)), result_code::request_fenced);
    bench.serve(create_non_idempotent("key-0001", 2));
    cr_assert_eq(bench.started.size(), 2);
    cr_assert_eq(bench.gate.running(), 1);
}

// Guards against a failed idempotent request never being retried here, and against frames of two
// runs being mixed in one answer (I3).
Test(work_gate, failed_idempotent_request_runs_again_under_a_higher_attempt)
{
    gate_bench bench;
    auto work = create_dispatch("key-0001");
    bench.serve(work);
    bench.gate.add_output(bench.last_call(), "old", 1);
    bench.gate.fail(bench.last_call(), "connection closed");
    bench.monitor.probe_answered();
    work.attempt = 2;
    auto const second = bench.serve(work);
    bench.gate.add_output(bench.last_call(), "new", 1);
    work.attempt = 1;
    work.from_frame = 1;
    cr_assert_eq(bench.refused(bench.serve(work)), result_code::answer_expired);
    cr_assert_eq(bench.started.size(), 2);
    cr_assert_eq(std::get<data_frame>(bench.received[second][0]).data, "new");
}

// Guards against usage being lost when the router that received it dies before appending it (I2).
Test(work_gate, usage_is_offered_until_acknowledged)
{
    gate_bench bench;
    auto const work = create_dispatch("key-0001");
    bench.serve(work);
    bench.gate.finish(bench.last_call(), create_answer(10, 0));
    bench.pass(duration(4'999));
    cr_assert_eq(bench.offers[work.request], 0);
    for (int n = 1; n <= 3; ++n)
    {
        bench.pass(duration(5'001));
        cr_assert_eq(bench.offers[work.request], n);
    }
    bench.gate.acknowledge({work.request});
    bench.gate.acknowledge({work.request});
    bench.pass(duration(60'000));
    cr_assert_eq(bench.offers[work.request], 3);
}

// Guards against grants being recovered while work runs under them, or before its usage is known.
Test(work_gate, close_grant_reports_finished_and_running)
{
    gate_bench bench;
    bench.serve(create_dispatch("key-0001"));
    bench.gate.finish(bench.last_call(), create_answer(40, 0));
    bench.serve(create_dispatch("key-0002"));
    auto const report = bench.gate.close_grant({3, 9});
    cr_assert_eq(report.running, 1);
    cr_assert_eq(report.finished.size(), 1);
    cr_assert_eq(bench.gate.close_grant({3, 8}).running, 0);
    bench.gate.acknowledge({create_dispatch("key-0001").request});
    bench.gate.finish(bench.last_call(), create_answer(30, 0));
    auto const second = bench.gate.close_grant({3, 9});
    cr_assert_eq(second.running, 0);
    cr_assert_eq(second.finished.size(), 0, "30 tokens lie under the first grant alone");
    cr_assert_eq(bench.gate.close_grant({3, 7}).finished.size(), 1);
}

// Guards against a router crash cancelling work whose caller is about to return (I3), against
// abandoned work occupying a slot for ever, and against non-idempotent work being stopped half way.
Test(work_gate, cancels_only_abandoned_idempotent_work)
{
    gate_bench bench;
    auto const work = create_dispatch("key-0001");
    bench.serve(work);
    bench.serve(create_non_idempotent("key-0002"));
    bench.gate.detach(bench.readers[0]);
    bench.gate.detach(bench.readers[1]);
    bench.pass(duration(29'000));
    auto const returned = bench.serve(work);
    bench.pass(duration(60'000));
    cr_assert(bench.cancelled.empty());
    bench.gate.detach(bench.readers[returned]);
    bench.pass(duration(30'000));
    cr_assert_eq(bench.cancelled.size(), 1);
    bench.gate.cancel(create_dispatch("key-0002").request);
    cr_assert_eq(bench.gate.running(), 1);
}

// Guards against output being dropped before its usage is acknowledged, against unbounded memory,
// and against an expired answer running again.
Test(work_gate, output_expires_after_acknowledgement_and_retention)
{
    gate_bench bench;
    auto const work = create_non_idempotent("key-0001");
    bench.serve(work);
    bench.gate.add_output(bench.last_call(), "text", 1);
    bench.gate.finish(bench.last_call(), create_answer(1, 1));
    bench.pass(duration(600'000));
    cr_assert_eq(bench.received[bench.serve(work)].size(), 2);
    bench.gate.acknowledge({work.request});
    bench.pass(duration(119'000));
    cr_assert_eq(bench.received[bench.serve(work)].size(), 2);
    bench.pass(duration(1'000));
    cr_assert_eq(bench.gate.kept_output_bytes(), 0);
    cr_assert_eq(bench.refused(bench.serve(work)), result_code::answer_expired);
    bench.pass(duration(80'000'000));
    cr_assert_eq(bench.refused(bench.serve(work)), result_code::answer_expired);
    cr_assert_eq(bench.started.size(), 1);
}

// Guards against output of finished requests exhausting the memory of the upstream's VM.
Test(work_gate, output_memory_is_bounded)
{
    work_gate::limits limits;
    limits.output_bytes = 1000;
    gate_bench bench(limits);
    for (int n = 0; n < 20; ++n)
    {
        bench.serve(create_dispatch("key-00" + std::to_string(10 + n)));
        bench.gate.add_output(bench.last_call(), std::string(300, 'x'), 1);
        bench.gate.finish(bench.last_call(), create_answer(1, 1));
        cr_assert_leq(bench.gate.kept_output_bytes(), 1000);
    }
    cr_assert_eq(bench.gate.unacknowledged(), 20);
}

// Guards against a planned stop interrupting running work or losing usage (I7).
Test(work_gate, drains_after_work_and_usage)
{
    gate_bench bench;
    auto const work = create_dispatch("key-0001");
    bench.serve(work);
    bench.gate.drain();
    cr_assert_eq(bench.gate.free_slots(), 0);
    auto const attached = bench.serve(work);
    cr_assert(!bench.gate.is_drained());
    bench.gate.finish(bench.last_call(), create_answer(10, 0));
    cr_assert_eq(bench.last(attached).usage.total(), 10);
    cr_assert(!bench.gate.is_drained());
    bench.pass(duration(100));
    cr_assert_eq(bench.offers[work.request], 1);
    bench.gate.acknowledge({work.request});
    cr_assert(bench.gate.is_drained());
}

// Guards against a request that crashes its upstream being run again and again, and against the
// requests that ran beside it being blocked too.
Test(upstream_crash_monitor, blocks_the_suspect_of_two_crashes)
{
    gate_bench bench;
    bench.monitor.set_routers({"router-1", "router-2"});
    auto killer = create_dispatch("key-0001");
    auto innocent = create_dispatch("key-0002");
    bench.serve(killer);
    bench.serve(innocent);
    bench.gate.fail(1, "connection closed");
    cr_assert(!bench.monitor.is_down(), "one lost call of two is no crash");
    bench.gate.fail(2, "connection closed");
    cr_assert(bench.monitor.is_down());
    cr_assert_eq(bench.gate.free_slots(), 0);
    cr_assert_eq(bench.monitor.unseen_by("router-1").at(0).requests.size(), 2);

    bench.monitor.probe_answered();
    killer.attempt = innocent.attempt = 2;
    bench.serve(innocent);
    cr_assert_eq(bench.refused(bench.serve(killer)), result_code::overloaded);
    bench.gate.finish(bench.last_call(), create_answer(1, 0));
    killer.attempt = 3;
    bench.serve(killer);
    bench.serve(create_dispatch("key-0003"));
    bench.gate.fail(bench.last_call() - 1, "connection closed");
    bench.gate.fail(bench.last_call(), "connection closed");
    cr_assert_eq(bench.monitor.crash_count(), 2);
    bench.monitor.probe_answered();
    killer.attempt = 4;
    cr_assert_eq(bench.refused(bench.serve(killer)), result_code::request_crashes_upstreams);
    auto beside = create_dispatch("key-0003");
    beside.attempt = 2;
    bench.serve(beside);
    cr_assert_eq(bench.gate.running(), 1);
}

// Guards against a request that crashed another upstream taking innocent ones with it here: the
// router's knowledge counts as much as the agent's own.
Test(upstream_crash_monitor, identifies_a_suspect_of_another_upstream)
{
    gate_bench bench;
    bench.monitor.set_routers({"router-1"});
    auto suspect = create_dispatch("key-0001");
    suspect.is_suspect = true;
    bench.serve(suspect);
    bench.serve(create_dispatch("key-0002"));
    auto other = create_dispatch("key-0003");
    other.is_suspect = true;
    cr_assert_eq(bench.refused(bench.serve(other)), result_code::overloaded);
    bench.gate.fail(1, "connection closed");
    bench.gate.fail(2, "connection closed");
    cr_assert(bench.monitor.is_blocked("f-key-0001"));
    cr_assert(!bench.monitor.is_suspect("f-key-0002"));
    auto const requests = bench.monitor.unseen_by("router-1").at(0).requests;
    cr_assert(requests[0].ran_as_suspect);
    cr_assert(!requests[1].ran_as_suspect);
}

// Guards against a crash notice being dropped before every router has seen it.
Test(upstream_crash_monitor, keeps_notices_until_all_routers_saw_them)
{
    gate_bench bench;
    bench.monitor.set_routers({"router-1", "router-2"});
    bench.serve(create_dispatch("key-0001"));
    bench.gate.fail(bench.last_call(), "connection closed");
    auto const notices = bench.monitor.unseen_by("router-1");
    bench.monitor.mark_seen("router-1", notices);
    cr_assert(bench.monitor.unseen_by("router-1").empty());
    cr_assert(bench.monitor.unseen_by("router-2") == notices);
    bench.monitor.mark_seen("router-2", notices);
    cr_assert(bench.monitor.unseen_by("router-3").empty());
}

// Guards against faults of single calls being taken for a crash, which would stop the upstream.
Test(upstream_crash_monitor, losses_of_single_calls_are_no_crash)
{
    gate_bench bench;
    bench.serve(create_dispatch("key-0001"));
    bench.serve(create_dispatch("key-0002"));
    bench.gate.fail(1, "connection closed");
    bench.gate.finish(2, create_answer(1, 0));
    cr_assert_eq(bench.monitor.crash_count(), 0);
    cr_assert(!bench.monitor.is_down());
}

// Guards against a paused router's old order overtaking a newer one, also right after a restart of
// the agent.
Test(order_fence, refuses_older_orders_for_upstreams_that_do_not_check)
{
    order_fence fence(false);
    cr_assert_eq(code_of(fence.accept(50)), result_code::not_ready);
    fence.set_configuration_offset(40);
    cr_assert_eq(code_of(fence.accept(39)), result_code::stale_fencing_number);
    cr_assert(fence.accept(50).ok());
    cr_assert(fence.accept(50).ok());
    cr_assert_eq(code_of(fence.accept(49)), result_code::stale_fencing_number);
    fence.set_configuration_offset(45);
    cr_assert_eq(fence.highest_number().value(), 50);

    order_fence passing(true);
    passing.set_configuration_offset(40);
    cr_assert(passing.accept(39).ok(), "an upstream that checks decides itself");
}

namespace {

/// From 0 to `count` - 1, evenly; inRange alone prefers small numbers in the first runs.
int pick(std::size_t count)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, static_cast<int>(count)));
}

/// Drives a gate with random messages and upstream events and checks the invariants after each.
class random_history
{
public:
    void step()
    {
        switch (pick(14))
        {
        case 0:
        case 1:
        case 2:
        case 3:
            send();
            break;
        case 4:
        case 5:
            with_call([&](std::uint64_t call)
                      { bench_.gate.add_output(call, std::to_string(++outputs_), 1); });
            break;
        case 6:
            with_call([&](std::uint64_t call) { bench_.gate.finish(call, create_answer(5, 99)); });
            break;
        case 7:
            with_call([&](std::uint64_t call) { bench_.gate.fail(call, "connection closed"); });
            break;
        case 8:
            with_call([&](std::uint64_t call) { refuse_connection(call); });
            break;
        case 9:
            close_grant();
            break;
        case 10:
            fence();
            break;
        case 11:
            if (!bench_.readers.empty())
                bench_.gate.detach(bench_.readers[pick(bench_.readers.size())]);
            break;
        case 12:
            acknowledge();
            break;
        default:
            bench_.monitor.probe_answered();
            bench_.pass(duration(*rc::gen::element(100, 5'000, 31'000, 130'000, 4'000'000)));
        }
        check();
    }

    /// All usage that was not acknowledged is offered again.
    void check_offers()
    {
        auto const before = bench_.offers;
        bench_.pass(duration(5'001));
        for (auto const& request : unacknowledged_)
            RC_ASSERT(bench_.offers[request] > (before.contains(request) ? before.at(request) : 0));
    }

private:
    dispatch draw()
    {
        int const n = pick(4);
        auto work = create_dispatch("key-000" + std::to_string(n));
        work.attempt = 1 + pick(4);
        work.output_cap = 3;
        work.grants = {{{3, pick(3)}, 53}};
        work.is_idempotent = n < 2;
        work.intent_offset = n < 2 ? -1 : 40 + work.attempt;
        work.from_frame = *rc::gen::element(0, 0, 0, 1, 3);
        return work;
    }

    void send()
    {
        auto const work = draw();
        auto const count = bench_.started.size();
        auto const reader = bench_.serve(work);
        from_.push_back(work.from_frame);
        sent_.push_back(work);
        if (bench_.started.size() > count)
        {
            check_may_start(work);
            RC_ASSERT(!closed_.contains(work.grants[0].grant));
            ++runs_[work.request];
            // Frames of an earlier run of an idempotent request have no further readers.
            texts_.erase(work.request);
        }
        auto const code = bench_.refused(reader);
        if (code != result_code::ok && code != result_code::answer_expired)
            note_not_run(work.request, work.attempt);
    }

    void note_not_run(request_id const& request, int attempt)
    {
        not_run_[{request, attempt}] = bench_.clock.now();
    }

    /// Fences of idempotent work are kept for 10 minutes, other fences for longer than a history.
    void check_may_start(dispatch const& work)
    {
        auto const it = not_run_.find({work.request, work.attempt});
        if (it != not_run_.end() && work.is_idempotent)
            RC_ASSERT(bench_.clock.now() - it->second > duration(600'000));
        else
            RC_ASSERT(it == not_run_.end());
    }

    void refuse_connection(std::uint64_t call)
    {
        auto const work = bench_.started[call - 1].second;
        bool const had_output = texts_.contains(work.request);
        bench_.gate.fail_before_start(call, "connection refused");
        if (had_output)
            return;
        note_not_run(work.request, work.attempt);
        --runs_[work.request];
    }

    void close_grant()
    {
        grant_id const grant{3, pick(3)};
        // The third grant stays open, so that work continues.
        if (grant.offset == 2)
            return;
        bench_.gate.close_grant(grant);
        closed_.insert(grant);
    }

    void fence()
    {
        auto const work = draw();
        if (bench_.gate.fence_request(work.request, work.attempt) != request_state::fenced)
            return;
        for (int n = 1; n <= work.attempt; ++n)
            note_not_run(work.request, n);
    }

    void acknowledge()
    {
        if (unacknowledged_.empty())
            return;
        auto const request = *unacknowledged_.begin();
        bench_.gate.acknowledge({request});
        unacknowledged_.erase(request);
    }

    template<typename Action>
    void with_call(Action const& action)
    {
        std::vector<std::uint64_t> calls;
        for (auto const& [call, work] : bench_.started)
        {
            if (!ended_.contains(call) && !bench_.cancelled.contains(call))
                calls.push_back(call);
        }
        if (calls.empty())
            return;
        auto const call = calls[pick(calls.size())];
        auto const running = bench_.gate.running();
        action(call);
        if (bench_.gate.running() < running)
            ended_.insert(call);
    }

    void check()
    {
        for (auto const& [request, count] : runs_)
            RC_ASSERT(count <= 1 || request.key < "key-0002");
        for (std::size_t n = 0; n < bench_.received.size(); ++n)
            check_reader(n);
    }

    void check_reader(std::size_t n)
    {
        auto const& lines = bench_.received[n];
        auto next = from_[n];
        for (std::size_t i = checked_[n]; i < lines.size(); ++i)
        {
            RC_ASSERT(i + 1 == lines.size() || !is_last(lines[i]));
            if (auto const* frame = std::get_if<data_frame>(&lines[i]))
            {
                RC_ASSERT(frame->number == next + static_cast<std::int64_t>(i));
                auto& texts = texts_[sent_[n].request];
                auto const it = texts.try_emplace(frame->number, frame->data).first;
                RC_ASSERT(it->second == frame->data);
            }
            else if (auto const* last = std::get_if<final_frame>(&lines[i]))
                check_final(*last, sent_[n], next + static_cast<std::int64_t>(i));
        }
        checked_[n] = lines.size();
    }

    void check_final(final_frame const& last, dispatch const& work, std::int64_t number)
    {
        RC_ASSERT(last.number == number || work.from_frame > last.number);
        RC_ASSERT(last.usage.output <= 3);
        token_count charged = 0;
        for (auto const& part : last.parts)
            charged += part.tokens;
        RC_ASSERT(charged == last.usage.total());
        if (charged > 0 && ever_unacknowledged_.insert(work.request).second)
            unacknowledged_.insert(work.request);
    }

    gate_bench bench_;
    int outputs_ = 0;
    std::map<std::pair<request_id, int>, instant> not_run_;
    std::set<grant_id> closed_;
    std::map<request_id, int> runs_;
    std::map<request_id, std::map<std::int64_t, std::string>> texts_;
    std::vector<std::int64_t> from_;
    std::vector<dispatch> sent_;
    std::map<std::size_t, std::size_t> checked_;
    std::set<std::uint64_t> ended_;
    std::set<request_id> unacknowledged_;
    std::set<request_id> ever_unacknowledged_;
};

} // namespace

// Guards against any interleaving of dispatches, attaches, fences, closed grants, losses and
// restarts of the upstream that starts non-idempotent work twice, starts work that was refused as
// not run, breaks the frame order of a reader, bills beyond the cap or forgets usage.
Test(work_gate, random_interleavings_keep_the_invariants)
{
    bool const holds = rc::check(
        "gate invariants",
        []
        {
            random_history history;
            int const steps = 1 + pick(120);
            for (int n = 0; n < steps; ++n)
                history.step();
            history.check_offers();
        });
    cr_assert(holds);
}
