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

/// Gate with a manual clock. The test acts as the upstream.
struct gate_fixture
{
    using lines = std::vector<work_line>;

    explicit gate_fixture(work_gate::limits limits = {})
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

    void advance(duration step)
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

upstream_response create_response(token_count prompt, token_count output)
{
    upstream_response response;
    response.content_type = "application/json";
    response.prompt_tokens = prompt;
    response.output_tokens = output;
    return response;
}

} // namespace

// Guards against a dispatch member that is written but not read.
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

// Guards against reading a misspelt or missing member as a default, for example ignoring a cap.
Test(dispatch, refuses_unknown_and_missing_members)
{
    auto json = to_json(create_dispatch("key-0001"));
    json["output_limit"] = 3;
    cr_assert_eq(code_of(parse_dispatch(json).status()), result_code::malformed_request);
    json.removeMember("output_limit");
    json.removeMember("output_cap");
    cr_assert_eq(code_of(parse_dispatch(json).status()), result_code::malformed_request);
}

// Guards against splitting a frame into two lines when its output contains line feeds or quotes.
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

// Guards against charging a grant more than was reserved under it.
Test(usage, splits_over_grants_in_order)
{
    std::vector<grant_part> const grants{{{3, 7}, 30}, {{3, 9}, 80}};
    cr_assert(
        (split_over_grants(grants, 45) == std::vector<grant_part>{{{3, 7}, 30}, {{3, 9}, 15}}));
    cr_assert(split_over_grants(grants, 500) == grants);
    cr_assert(split_over_grants(grants, 0).empty());
}

// Guards against a heartbeat member that is written but not read.
Test(heartbeat, round_trips)
{
    agent_heartbeat heartbeat;
    heartbeat.agent = {"m1", "a"};
    heartbeat.upstream = "m1";
    heartbeat.address = "127.0.0.1:9000";
    heartbeat.is_leaving = true;
    heartbeat.config_offset = 12;
    heartbeat.running = 2;
    heartbeat.free_slots = 6;
    heartbeat.is_suspect_running = true;
    heartbeat.cache_prefixes = {"00ff"};
    heartbeat.crashes = {{"c1", {{{{"sandshare", "dune-masters"}, "key-0001"}, "f1", true}}}};
    cr_assert(parse_agent_heartbeat(to_json(heartbeat)).value() == heartbeat);
    agent_heartbeat_result const result{{"router-1", "b"}, 13, true};
    cr_assert(parse_agent_heartbeat_result(to_json(result)).value() == result);
}

// Guards against a client without a stream that receives only part of the text, or usage that
// differs from the billed usage.
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

// Guards against running a retry with the same key a second time, and against a second reader that
// misses frames which the first one received (I3, I5).
Test(work_gate, repeated_request_attaches)
{
    gate_fixture fixture;
    auto work = create_non_idempotent("key-0001");
    fixture.serve(work);
    fixture.gate.add_output(fixture.last_call(), "a", 1);
    fixture.gate.add_output(fixture.last_call(), "b", 1);
    work.from_frame = 1;
    auto const second = fixture.serve(work);
    fixture.gate.add_output(fixture.last_call(), "c", 1);
    fixture.gate.finish(fixture.last_call(), create_response(40, 3));
    work.attempt = 2;
    work.from_frame = 0;
    auto const third = fixture.serve(work);
    cr_assert_eq(fixture.started.size(), 1);
    cr_assert_eq(fixture.received[0].size(), 4);
    cr_assert_eq(fixture.received[second].size(), 3);
    cr_assert(fixture.received[third] == fixture.received[0]);
}

// Guards against returning the response to another body when a request key is reused.
Test(work_gate, refuses_reused_key)
{
    gate_fixture fixture;
    auto work = create_dispatch("key-0001");
    fixture.serve(work);
    work.fingerprint = "other";
    auto const second = fixture.serve(work);
    cr_assert_eq(fixture.refused(second), result_code::request_key_reused);
    cr_assert_eq(fixture.gate.find_request(work.request), request_state::running);
}

// Guards against starting work that is meant for another incarnation, uses a closed grant, lacks an
// intent or a reservation, is blocked or unconfigured, or arrives while the upstream is leaving.
Test(work_gate, refuses_what_must_not_run)
{
    gate_fixture fixture;
    auto const expect = [&](dispatch const& work, result_code code)
    { cr_assert_eq(fixture.refused(fixture.serve(work)), code); };
    expect(create_dispatch("key-0001", {"m1", "b"}), result_code::stale_incarnation);
    fixture.gate.close_grant({3, 9});
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
    fixture.blocked.insert("killer");
    expect(work, result_code::request_crashes_upstreams);
    fixture.is_configured = false;
    work.request.key = "key-0006";
    expect(work, result_code::not_ready);
    work.request.key = "key-0007";
    work.from_frame = 2;
    expect(work, result_code::answer_expired);
    fixture.gate.drain();
    work.from_frame = 0;
    expect(work, result_code::upstream_leaving);
    cr_assert(fixture.started.empty());
}

// Guards against starting a late copy of a refused dispatch after its client was told that it did
// not run (I4), and against refusing the next attempt forever.
Test(work_gate, refused_attempt_never_starts)
{
    gate_fixture fixture;
    auto work = create_dispatch("key-0001");
    fixture.is_configured = false;
    fixture.serve(work);
    fixture.is_configured = true;
    auto const second = fixture.serve(work);
    cr_assert_eq(fixture.refused(second), result_code::request_fenced);
    cr_assert_eq(std::get<work_refusal>(fixture.received[second][0]).next_attempt, 2);
    work.attempt = 2;
    fixture.serve(work);
    cr_assert_eq(fixture.started.size(), 1);
}

// Guards against starting an attempt after it was declared void on the log (I5).
Test(work_gate, fenced_attempt_never_starts)
{
    gate_fixture fixture;
    auto const work = create_non_idempotent("key-0001");
    cr_assert_eq(fixture.gate.fence_request(work.request, 1), request_state::fenced);
    cr_assert_eq(fixture.refused(fixture.serve(work)), result_code::request_fenced);
    fixture.serve(create_non_idempotent("key-0001", 2));
    cr_assert_eq(fixture.started.size(), 1);
    cr_assert_eq(fixture.gate.fence_request(work.request, 2), request_state::running);
    fixture.gate.finish(fixture.last_call(), create_response(1, 0));
    cr_assert_eq(fixture.gate.fence_request(work.request, 3), request_state::finished);
}

// Guards against delivering or billing output beyond the cap when the upstream ignores its limit
// (I1).
Test(work_gate, cuts_output_at_the_cap)
{
    gate_fixture fixture;
    auto work = create_dispatch("key-0001");
    work.output_cap = 3;
    fixture.serve(work);
    auto const call = fixture.last_call();
    for (auto const* text : {"a", "b", "c", "d", "e"})
        fixture.gate.add_output(call, text, 1);
    fixture.gate.finish(call, create_response(500, 500));
    cr_assert_eq(fixture.received[0].size(), 4);
    cr_assert_eq(fixture.last(0).usage.output, 3);
    cr_assert_eq(fixture.last(0).data, "cut");
    cr_assert(fixture.cancelled.contains(call));
    auto const parts = fixture.last(0).parts;
    cr_assert((parts == std::vector<grant_part>{{{3, 7}, 30}, {{3, 9}, 23}}));
}

// Guards against billing a lost run. A request is billed once and does not run again afterwards, so
// its client would never receive a complete response.
Test(work_gate, lost_idempotent_run_is_not_billed)
{
    gate_fixture fixture;
    fixture.serve(create_dispatch("key-0001"));
    fixture.gate.add_output(fixture.last_call(), "a", 2);
    fixture.gate.fail(fixture.last_call(), "connection closed");
    cr_assert_eq(fixture.last(0).code, result_code::upstream_lost);
    cr_assert(fixture.last(0).parts.empty());
    cr_assert_eq(fixture.last(0).usage.total(), 0);
    cr_assert_eq(fixture.gate.unacknowledged(), 0);
}

// Guards against sending the output of a failed run to a client that returns. Its stream would have
// begun, so the request could not run again.
Test(work_gate, output_of_a_failed_run_is_not_repeated)
{
    gate_fixture fixture;
    auto const work = create_dispatch("key-0001");
    fixture.serve(work);
    fixture.gate.add_output(fixture.last_call(), "a", 2);
    fixture.gate.fail(fixture.last_call(), "connection closed");
    auto const second = fixture.serve(work);
    cr_assert_eq(fixture.received[second].size(), 1);
    cr_assert_eq(fixture.last(second).code, result_code::upstream_lost);
}

// Guards against billing the whole reservation of a failed call, or nothing.
Test(work_gate, failed_call_bills_what_was_produced)
{
    gate_fixture fixture;
    fixture.serve(create_dispatch("key-0001"));
    fixture.gate.add_output(fixture.last_call(), "a", 2);
    fixture.gate.fail(fixture.last_call(), "response without end", call_failure::incomplete);
    cr_assert_eq(fixture.last(0).code, result_code::upstream_failed);
    cr_assert((fixture.last(0).parts == std::vector<grant_part>{{{3, 7}, 2}}));
    cr_assert_eq(fixture.gate.unacknowledged(), 1);
}

// Guards against reporting a refused connection as work that may have run, and against running its
// attempt later.
Test(work_gate, refused_connection_did_not_run)
{
    gate_fixture fixture;
    auto const work = create_non_idempotent("key-0001");
    fixture.serve(work);
    fixture.gate.fail_before_start(fixture.last_call(), "connection refused");
    cr_assert_eq(fixture.refused(0), result_code::no_upstream);
    cr_assert_eq(fixture.gate.free_slots(), 0);
    fixture.monitor.probe_answered();
    cr_assert_eq(fixture.refused(fixture.serve(work)), result_code::request_fenced);
    fixture.serve(create_non_idempotent("key-0001", 2));
    cr_assert_eq(fixture.started.size(), 2);
    cr_assert_eq(fixture.gate.running(), 1);
}

// Guards against never retrying a failed idempotent request here, and against mixing frames of two
// runs in one response (I3).
Test(work_gate, failed_idempotent_request_runs_again_under_a_higher_attempt)
{
    gate_fixture fixture;
    auto work = create_dispatch("key-0001");
    fixture.serve(work);
    fixture.gate.add_output(fixture.last_call(), "old", 1);
    fixture.gate.fail(fixture.last_call(), "connection closed");
    fixture.monitor.probe_answered();
    work.attempt = 2;
    auto const second = fixture.serve(work);
    fixture.gate.add_output(fixture.last_call(), "new", 1);
    work.attempt = 1;
    work.from_frame = 1;
    cr_assert_eq(fixture.refused(fixture.serve(work)), result_code::answer_expired);
    cr_assert_eq(fixture.started.size(), 2);
    cr_assert_eq(std::get<data_frame>(fixture.received[second][0]).data, "new");
}

// Guards against losing usage when the router that received it crashes before appending it (I2).
Test(work_gate, usage_is_offered_until_acknowledged)
{
    gate_fixture fixture;
    auto const work = create_dispatch("key-0001");
    fixture.serve(work);
    fixture.gate.finish(fixture.last_call(), create_response(10, 0));
    fixture.advance(duration(4'999));
    cr_assert_eq(fixture.offers[work.request], 0);
    for (int n = 1; n <= 3; ++n)
    {
        fixture.advance(duration(5'001));
        cr_assert_eq(fixture.offers[work.request], n);
    }
    fixture.gate.acknowledge({work.request});
    fixture.gate.acknowledge({work.request});
    fixture.advance(duration(60'000));
    cr_assert_eq(fixture.offers[work.request], 3);
}

// Guards against recovering a grant while work runs under it, or before its usage is known.
Test(work_gate, close_grant_reports_finished_and_running)
{
    gate_fixture fixture;
    fixture.serve(create_dispatch("key-0001"));
    fixture.gate.finish(fixture.last_call(), create_response(40, 0));
    fixture.serve(create_dispatch("key-0002"));
    auto const report = fixture.gate.close_grant({3, 9});
    cr_assert_eq(report.running, 1);
    cr_assert_eq(report.finished.size(), 1);
    cr_assert_eq(fixture.gate.close_grant({3, 8}).running, 0);
    fixture.gate.acknowledge({create_dispatch("key-0001").request});
    fixture.gate.finish(fixture.last_call(), create_response(30, 0));
    auto const second = fixture.gate.close_grant({3, 9});
    cr_assert_eq(second.running, 0);
    cr_assert_eq(second.finished.size(), 0, "30 tokens lie under the first grant alone");
    cr_assert_eq(fixture.gate.close_grant({3, 7}).finished.size(), 1);
}

// Guards against cancelling work after a router crash while its client may still return (I3),
// against abandoned work that occupies a slot forever, and against cancelling non-idempotent work.
Test(work_gate, cancels_only_abandoned_idempotent_work)
{
    gate_fixture fixture;
    auto const work = create_dispatch("key-0001");
    fixture.serve(work);
    fixture.serve(create_non_idempotent("key-0002"));
    fixture.gate.detach(fixture.readers[0]);
    fixture.gate.detach(fixture.readers[1]);
    fixture.advance(duration(29'000));
    auto const returned = fixture.serve(work);
    fixture.advance(duration(60'000));
    cr_assert(fixture.cancelled.empty());
    fixture.gate.detach(fixture.readers[returned]);
    fixture.advance(duration(30'000));
    cr_assert_eq(fixture.cancelled.size(), 1);
    fixture.gate.cancel(create_dispatch("key-0002").request);
    cr_assert_eq(fixture.gate.running(), 1);
}

// Guards against dropping output before its usage is acknowledged, against keeping it forever, and
// against running a request again whose output has expired.
Test(work_gate, output_expires_after_acknowledgement_and_retention)
{
    gate_fixture fixture;
    auto const work = create_non_idempotent("key-0001");
    fixture.serve(work);
    fixture.gate.add_output(fixture.last_call(), "text", 1);
    fixture.gate.finish(fixture.last_call(), create_response(1, 1));
    fixture.advance(duration(600'000));
    cr_assert_eq(fixture.received[fixture.serve(work)].size(), 2);
    fixture.gate.acknowledge({work.request});
    fixture.advance(duration(119'000));
    cr_assert_eq(fixture.received[fixture.serve(work)].size(), 2);
    fixture.advance(duration(1'000));
    cr_assert_eq(fixture.gate.kept_output_bytes(), 0);
    cr_assert_eq(fixture.refused(fixture.serve(work)), result_code::answer_expired);
    fixture.advance(duration(80'000'000));
    cr_assert_eq(fixture.refused(fixture.serve(work)), result_code::answer_expired);
    cr_assert_eq(fixture.started.size(), 1);
}

// Guards against exhausting the memory of the upstream's VM with output of finished requests.
Test(work_gate, output_memory_is_bounded)
{
    work_gate::limits limits;
    limits.output_bytes = 1000;
    gate_fixture fixture(limits);
    for (int n = 0; n < 20; ++n)
    {
        fixture.serve(create_dispatch("key-00" + std::to_string(10 + n)));
        fixture.gate.add_output(fixture.last_call(), std::string(300, 'x'), 1);
        fixture.gate.finish(fixture.last_call(), create_response(1, 1));
        cr_assert_leq(fixture.gate.kept_output_bytes(), 1000);
    }
    cr_assert_eq(fixture.gate.unacknowledged(), 20);
}

// An upstream produces output without end and without a token, or with large tokens, beside a sound
// one. The cap counts tokens only. Guards against an agent that keeps all of it and is killed.
Test(work_gate, output_without_end_is_given_up)
{
    constexpr std::size_t limit = 10'000;
    constexpr int event_count = 1000;
    work_gate::limits limits;
    limits.slots = 2;
    limits.output_bytes = limit;
    for (bool const is_idempotent : {true, false})
    {
        gate_fixture fixture(limits);
        auto const sound = fixture.serve(create_dispatch("sound"));
        auto const sound_call = fixture.last_call();
        auto const endless = fixture.serve(
            is_idempotent ? create_dispatch("endless") : create_non_idempotent("endless"));
        auto const endless_call = fixture.last_call();
        fixture.gate.add_output(sound_call, "a", 1);
        for (int n = 0; n < event_count; ++n)
        {
            fixture.gate.add_output(endless_call, std::string(100, 'x'), 0);
            cr_assert_leq(fixture.gate.kept_output_bytes(), limit);
        }
        cr_assert_eq(fixture.last(endless).code, result_code::upstream_failed);
        cr_assert(fixture.cancelled.contains(endless_call));
        fixture.gate.add_output(sound_call, "b", 1);
        fixture.gate.finish(sound_call, create_response(50, 2));
        cr_assert_eq(fixture.last(sound).code, result_code::ok);
        cr_assert_not(fixture.cancelled.contains(sound_call));
    }
}

// Guards against a planned stop that interrupts running work or loses usage (I7).
Test(work_gate, drains_after_work_and_usage)
{
    gate_fixture fixture;
    auto const work = create_dispatch("key-0001");
    fixture.serve(work);
    fixture.gate.drain();
    cr_assert_eq(fixture.gate.free_slots(), 0);
    auto const attached = fixture.serve(work);
    cr_assert(!fixture.gate.is_drained());
    fixture.gate.finish(fixture.last_call(), create_response(10, 0));
    cr_assert_eq(fixture.last(attached).usage.total(), 10);
    cr_assert(!fixture.gate.is_drained());
    fixture.advance(duration(100));
    cr_assert_eq(fixture.offers[work.request], 1);
    fixture.gate.acknowledge({work.request});
    cr_assert(fixture.gate.is_drained());
}

// Guards against running a request again and again that crashes its upstream, and against blocking
// the requests that ran beside it.
Test(upstream_crash_monitor, blocks_the_suspect_of_two_crashes)
{
    gate_fixture fixture;
    fixture.monitor.set_routers({"router-1", "router-2"});
    auto crashing = create_dispatch("key-0001");
    auto innocent = create_dispatch("key-0002");
    fixture.serve(crashing);
    fixture.serve(innocent);
    fixture.gate.fail(1, "connection closed");
    cr_assert(!fixture.monitor.is_down(), "one lost call of two is no crash");
    fixture.gate.fail(2, "connection closed");
    cr_assert(fixture.monitor.is_down());
    cr_assert_eq(fixture.gate.free_slots(), 0);
    cr_assert_eq(fixture.monitor.notices_for("router-1").at(0).requests.size(), 2);

    fixture.monitor.probe_answered();
    crashing.attempt = innocent.attempt = 2;
    fixture.serve(innocent);
    cr_assert_eq(fixture.refused(fixture.serve(crashing)), result_code::overloaded);
    fixture.gate.finish(fixture.last_call(), create_response(1, 0));
    crashing.attempt = 3;
    fixture.serve(crashing);
    fixture.serve(create_dispatch("key-0003"));
    fixture.gate.fail(fixture.last_call() - 1, "connection closed");
    fixture.gate.fail(fixture.last_call(), "connection closed");
    cr_assert_eq(fixture.monitor.crash_count(), 2);
    fixture.monitor.probe_answered();
    crashing.attempt = 4;
    cr_assert_eq(fixture.refused(fixture.serve(crashing)), result_code::request_crashes_upstreams);
    auto beside_suspect = create_dispatch("key-0003");
    beside_suspect.attempt = 2;
    fixture.serve(beside_suspect);
    cr_assert_eq(fixture.gate.running(), 1);
}

// Guards against suspecting innocent requests that ran beside a request which crashed another
// upstream. A suspect reported by the router counts like one of the agent's own.
Test(upstream_crash_monitor, identifies_a_suspect_of_another_upstream)
{
    gate_fixture fixture;
    fixture.monitor.set_routers({"router-1"});
    auto suspect = create_dispatch("key-0001");
    suspect.is_suspect = true;
    fixture.serve(suspect);
    fixture.serve(create_dispatch("key-0002"));
    auto other = create_dispatch("key-0003");
    other.is_suspect = true;
    cr_assert_eq(fixture.refused(fixture.serve(other)), result_code::overloaded);
    fixture.gate.fail(1, "connection closed");
    fixture.gate.fail(2, "connection closed");
    cr_assert(fixture.monitor.is_blocked("f-key-0001"));
    cr_assert(!fixture.monitor.is_suspect("f-key-0002"));
    auto const requests = fixture.monitor.notices_for("router-1").at(0).requests;
    cr_assert(requests[0].ran_as_suspect);
    cr_assert(!requests[1].ran_as_suspect);
}

// Guards against dropping a crash notice before every router has acknowledged it.
Test(upstream_crash_monitor, keeps_notices_until_all_routers_saw_them)
{
    gate_fixture fixture;
    fixture.monitor.set_routers({"router-1", "router-2"});
    fixture.serve(create_dispatch("key-0001"));
    fixture.gate.fail(fixture.last_call(), "connection closed");
    auto const notices = fixture.monitor.notices_for("router-1");
    fixture.monitor.acknowledge("router-1", notices);
    cr_assert(fixture.monitor.notices_for("router-1").empty());
    cr_assert(fixture.monitor.notices_for("router-2") == notices);
    fixture.monitor.acknowledge("router-2", notices);
    cr_assert(fixture.monitor.notices_for("router-3").empty());
}

// Guards against treating faults of single calls as a crash, which would stop the upstream.
Test(upstream_crash_monitor, losses_of_single_calls_are_no_crash)
{
    gate_fixture fixture;
    fixture.serve(create_dispatch("key-0001"));
    fixture.serve(create_dispatch("key-0002"));
    fixture.gate.fail(1, "connection closed");
    fixture.gate.finish(2, create_response(1, 0));
    cr_assert_eq(fixture.monitor.crash_count(), 0);
    cr_assert(!fixture.monitor.is_down());
}

// Guards against accepting a paused router's old order after a newer one, also directly after a
// restart of the agent.
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

/// Uniform number from 0 to `count` - 1. `inRange` alone prefers small numbers in the first runs.
int random_below(std::size_t count)
{
    return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange(0, static_cast<int>(count)));
}

/// Feeds a gate with random messages and upstream events and checks the invariants after each one.
class random_history
{
public:
    void step()
    {
        switch (random_below(14))
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
                      { fixture_.gate.add_output(call, std::to_string(++outputs_), 1); });
            break;
        case 6:
            with_call([&](std::uint64_t call)
                      { fixture_.gate.finish(call, create_response(5, 99)); });
            break;
        case 7:
            with_call([&](std::uint64_t call) { fixture_.gate.fail(call, "connection closed"); });
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
            if (!fixture_.readers.empty())
                fixture_.gate.detach(fixture_.readers[random_below(fixture_.readers.size())]);
            break;
        case 12:
            acknowledge();
            break;
        default:
            fixture_.monitor.probe_answered();
            fixture_.advance(duration(*rc::gen::element(100, 5'000, 31'000, 130'000, 4'000'000)));
        }
        check();
    }

    /// Checks that all unacknowledged usage is offered again.
    void check_offers()
    {
        auto const before = fixture_.offers;
        fixture_.advance(duration(5'001));
        for (auto const& request : unacknowledged_)
            RC_ASSERT(
                fixture_.offers[request] > (before.contains(request) ? before.at(request) : 0));
    }

private:
    dispatch create_random_dispatch()
    {
        int const n = random_below(4);
        auto work = create_dispatch("key-000" + std::to_string(n));
        work.attempt = 1 + random_below(4);
        work.output_cap = 3;
        work.grants = {{{3, random_below(3)}, 53}};
        work.is_idempotent = n < 2;
        work.intent_offset = n < 2 ? -1 : 40 + work.attempt;
        work.from_frame = *rc::gen::element(0, 0, 0, 1, 3);
        return work;
    }

    void send()
    {
        auto const work = create_random_dispatch();
        auto const count = fixture_.started.size();
        auto const reader = fixture_.serve(work);
        from_.push_back(work.from_frame);
        sent_.push_back(work);
        if (fixture_.started.size() > count)
        {
            check_may_start(work);
            RC_ASSERT(!closed_.contains(work.grants[0].grant));
            ++runs_[work.request];
            // No reader receives more frames of an earlier run of an idempotent request.
            texts_.erase(work.request);
        }
        auto const code = fixture_.refused(reader);
        if (code != result_code::ok && code != result_code::answer_expired)
            record_not_run(work.request, work.attempt);
    }

    void record_not_run(request_id const& request, int attempt)
    {
        not_run_[{request, attempt}] = fixture_.clock.now();
    }

    /// Fences of idempotent work are kept for 10 minutes, other fences longer than a history lasts.
    void check_may_start(dispatch const& work)
    {
        auto const it = not_run_.find({work.request, work.attempt});
        if (it != not_run_.end() && work.is_idempotent)
            RC_ASSERT(fixture_.clock.now() - it->second > duration(600'000));
        else
            RC_ASSERT(it == not_run_.end());
    }

    void refuse_connection(std::uint64_t call)
    {
        auto const work = fixture_.started[call - 1].second;
        bool const had_output = texts_.contains(work.request);
        fixture_.gate.fail_before_start(call, "connection refused");
        if (had_output)
            return;
        record_not_run(work.request, work.attempt);
        --runs_[work.request];
    }

    void close_grant()
    {
        grant_id const grant{3, random_below(3)};
        // The third grant stays open, so that work can still start.
        if (grant.offset == 2)
            return;
        fixture_.gate.close_grant(grant);
        closed_.insert(grant);
    }

    void fence()
    {
        auto const work = create_random_dispatch();
        if (fixture_.gate.fence_request(work.request, work.attempt) != request_state::fenced)
            return;
        for (int n = 1; n <= work.attempt; ++n)
            record_not_run(work.request, n);
    }

    void acknowledge()
    {
        if (unacknowledged_.empty())
            return;
        auto const request = *unacknowledged_.begin();
        fixture_.gate.acknowledge({request});
        unacknowledged_.erase(request);
    }

    template<typename Action>
    void with_call(Action const& action)
    {
        std::vector<std::uint64_t> calls;
        for (auto const& [call, work] : fixture_.started)
        {
            if (!ended_.contains(call) && !fixture_.cancelled.contains(call))
                calls.push_back(call);
        }
        if (calls.empty())
            return;
        auto const call = calls[random_below(calls.size())];
        auto const running = fixture_.gate.running();
        action(call);
        if (fixture_.gate.running() < running)
            ended_.insert(call);
    }

    void check()
    {
        for (auto const& [request, count] : runs_)
            RC_ASSERT(count <= 1 || request.key < "key-0002");
        for (std::size_t n = 0; n < fixture_.received.size(); ++n)
            check_reader(n);
    }

    void check_reader(std::size_t n)
    {
        auto const& lines = fixture_.received[n];
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

    gate_fixture fixture_;
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

// Guards against interleavings of dispatches, attaches, fences, closed grants, losses and restarts
// of the upstream that start non-idempotent work twice, start work that was refused as not run,
// break the frame order of a reader, bill beyond the cap, or lose usage.
Test(work_gate, random_interleavings_keep_the_invariants)
{
    bool const holds = rc::check(
        "gate invariants",
        []
        {
            random_history history;
            int const steps = 1 + random_below(120);
            for (int n = 0; n < steps; ++n)
                history.step();
            history.check_offers();
        });
    cr_assert(holds);
}
