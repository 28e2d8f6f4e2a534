#include <almondcart/core/json.hpp>
#include <almondcart/core/status.hpp>
#include <almondcart/gate/chat_completion_assembler.hpp>
#include <almondcart/gate/dispatch.hpp>
#include <almondcart/gate/frame.hpp>
#include <almondcart/gate/heartbeat.hpp>
#include <almondcart/gate/usage_json.hpp>

#include <criterion/criterion.h>

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

} // namespace

// Guards against a member that one side writes and the other does not read.
Test(dispatch, round_trips)
{
    auto value = create_dispatch("key-0001");
    value.attempt = 2;
    value.intent_offset = 44;
    value.from_frame = 3;
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
    beat.cache_prefixes = {"00ff"};
    beat.crashes = {{"c1", {{{{"sandshare", "dune-masters"}, "key-0001"}, "f1"}}}};
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
