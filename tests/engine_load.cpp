#include <almondcart/forwarding/engine_chooser.hpp>
#include <almondcart/forwarding/engine_queue.hpp>
#include <almondcart/forwarding/load_message.hpp>

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <vector>

using namespace almondcart;
using namespace almondcart::forwarding;

namespace {

prompt_info prompt_of(std::int64_t tokens, std::uint64_t shared = 0, std::int64_t shared_tokens = 0)
{
    prompt_info result;
    result.input_tokens = tokens + shared_tokens;
    result.output_limit_tokens = 50;
    if (shared_tokens > 0)
        result.parts.push_back({shared, shared_tokens});
    result.parts.push_back({1, tokens});
    return result;
}

struct queue_fixture
{
    manual_clock clock;
    engine_queue queue{clock.function()};

    engine_load load() { return queue.load_for(prompt_of(100)); }
};

upstream_pointer create_upstream(std::string const& id, std::string const& zone)
{
    auto result = std::make_shared<upstream>();
    result->entry.id = id;
    result->entry.availability_zone = zone;
    result->entry.slots = 64;
    return result;
}

engine_load load_of(std::int64_t waiting, int running, std::int64_t cached = 0)
{
    return {
        .waiting_tokens = waiting,
        .cached_tokens = cached,
        .running = running,
        .tokens_per_ms = 30};
}

} // namespace

// Many gateways send to one engine at once, each of which knows only its own requests. Guards
// against an engine that looks free to all of them.
Test(engine_load, prompts_of_many_gateways_are_counted_together)
{
    queue_fixture it;
    for (int i = 0; i < 30; ++i)
        it.queue.announce("request-" + std::to_string(i), prompt_of(1000));
    cr_assert_eq(it.load().waiting_tokens, 30'000);
    cr_assert_eq(it.load().running, 0);
    it.queue.record_prompt_read("request-0");
    cr_assert_eq(it.load().waiting_tokens, 29'000);
    cr_assert_eq(it.load().running, 1);
    for (int i = 0; i < 30; ++i)
        it.queue.record_end("request-" + std::to_string(i));
    cr_assert_eq(it.load().waiting_tokens, 0);
    cr_assert_eq(it.load().running, 0);
}

// Datagrams are lost or repeated, and gateways die. Guards against load that is counted twice or
// for ever.
Test(engine_load, lost_and_repeated_announcements_leave_no_load_behind)
{
    queue_fixture it;
    it.queue.announce("a", prompt_of(1000));
    it.queue.announce("a", prompt_of(1000));
    cr_assert_eq(it.load().waiting_tokens, 1000);
    it.queue.record_prompt_read("unknown");
    it.queue.record_end("unknown");
    it.queue.record_prompt_read("a");
    it.queue.record_prompt_read("a");
    cr_assert_eq(it.load().waiting_tokens, 0);
    it.queue.announce("b", prompt_of(500));
    it.clock.advance(duration(60'000));
    cr_assert_eq(it.load(), (engine_load{0, 0, 0, it.load().tokens_per_ms}));
    cr_assert_eq(it.queue.size(), 0);
}

// Guards against a cached part being counted as work, and against one that was evicted long ago
// being taken for cached.
Test(engine_load, parts_that_any_gateway_sent_count_as_cached_for_a_while)
{
    queue_fixture it;
    auto const prompt = prompt_of(500, 77, 3000);
    cr_assert_eq(it.queue.load_for(prompt).cached_tokens, 0);
    it.queue.announce("a", prompt);
    cr_assert_eq(it.queue.load_for(prompt).waiting_tokens, 3500);
    cr_assert_eq(it.queue.load_for(prompt).cached_tokens, 3000);
    it.queue.announce("b", prompt);
    cr_assert_eq(it.queue.load_for(prompt).waiting_tokens, 4000);
    it.clock.advance(duration(60'000));
    cr_assert_eq(it.queue.load_for(prompt).cached_tokens, 0);
}

// Engines differ in speed. Guards against waits that are predicted with one speed for all.
Test(engine_load, the_speed_of_reading_is_learned_while_prompts_wait)
{
    queue_fixture it;
    for (int i = 0; i < 100; ++i)
    {
        it.queue.announce("r", prompt_of(4000));
        it.clock.advance(duration(200));
        it.queue.record_prompt_read("r");
        it.queue.record_end("r");
        it.clock.advance(duration(1000)); // without work, which says nothing about the speed
    }
    cr_assert_float_eq(it.load().tokens_per_ms, 20, 1);
}

// Guards against a request that joins a queue although a free engine of the zone has answered.
Test(engine_load, a_free_engine_is_chosen_before_one_where_prompts_wait)
{
    engine_chooser const chooser({.availability_zone = "zone-1"});
    auto const busy = create_upstream("busy", "zone-1");
    auto const idle = create_upstream("idle", "zone-1");
    std::vector<engine_candidate> const candidates{{busy, load_of(9000, 0)}, {idle, load_of(0, 0)}};
    cr_assert_eq(chooser.choose(candidates, prompt_of(2000)), idle);
}

// Traffic between zones is slower and costs money. Guards against leaving the zone for a few
// milliseconds, and against staying in it whatever the wait.
Test(engine_load, the_zone_is_left_only_for_a_shorter_wait)
{
    engine_chooser const chooser({.availability_zone = "zone-1"});
    auto const near = create_upstream("near", "zone-1");
    auto const far = create_upstream("far", "zone-2");
    auto const choose = [&](std::int64_t near_waiting)
    {
        return chooser.choose(
            {{near, load_of(near_waiting, 0)}, {far, load_of(0, 0)}}, prompt_of(500));
    };
    cr_assert_eq(choose(300), near);
    cr_assert_eq(choose(6000), far);
}

// A long prompt delays the events of all requests that run on its engine. Guards against placing it
// where many run.
Test(engine_load, a_long_prompt_avoids_engines_with_many_running_requests)
{
    engine_chooser const chooser({.availability_zone = "zone-1"});
    auto const crowded = create_upstream("crowded", "zone-1");
    auto const quiet = create_upstream("quiet", "zone-1");
    std::vector<engine_candidate> const candidates{
        {crowded, load_of(0, 20)}, {quiet, load_of(3000, 0)}};
    cr_assert_eq(chooser.choose(candidates, prompt_of(6000)), quiet);
    cr_assert_eq(chooser.choose(candidates, prompt_of(100)), crowded);
}

// Guards against reading a shared part again for a small saving, which delays later requests.
Test(engine_load, an_engine_that_has_cached_the_prompt_may_be_somewhat_busier)
{
    engine_chooser const chooser({.availability_zone = "zone-1"});
    auto const cached = create_upstream("cached", "zone-1");
    auto const empty = create_upstream("empty", "zone-1");
    auto const prompt = prompt_of(1000, 77, 3000);
    cr_assert_eq(
        chooser.choose({{cached, load_of(4000, 0, 3000)}, {empty, load_of(0, 0)}}, prompt), cached);
    cr_assert_eq(
        chooser.choose({{cached, load_of(20'000, 0, 3000)}, {empty, load_of(0, 0)}}, prompt),
        empty);
}

// Guards against a choice among engines of which nothing is known.
Test(engine_load, no_engine_is_chosen_without_an_answer)
{
    engine_chooser const chooser({.availability_zone = "zone-1"});
    cr_assert_null(chooser.choose({{create_upstream("a", "zone-1"), {}}}, prompt_of(10)).get());
}

Test(engine_load, messages_survive_encoding)
{
    auto const query = load_message::query(7, prompt_of(5, 9, 6));
    auto const decoded = load_message::decode(query.encode());
    cr_assert(decoded.has_value());
    cr_assert_eq(decoded->number, 7);
    cr_assert_eq(decoded->prompt.input_tokens, 11);
    cr_assert_eq(decoded->prompt.parts.size(), 2);
    cr_assert_eq(decoded->prompt.parts[0].id, 9);
    auto const answer = load_message::answer(7, load_of(3, 4, 5));
    cr_assert_eq(load_message::decode(answer.encode())->load, load_of(3, 4, 5));
    auto const end = load_message::end("r-1");
    cr_assert_eq(load_message::decode(end.encode())->request, "r-1");
}

// Anyone on the network may send a datagram. Guards against one that ends the process or adds a
// load that no sum can hold.
Test(engine_load, malformed_messages_are_rejected)
{
    for (auto const* text :
         {"",
          "{",
          "[]",
          "{}",
          "[0]",
          "[9,1]",
          "[-1,1]",
          R"([2,7,1])",
          R"([4,7])",
          R"([0,"1",1])",
          "[0,1,-1]",
          "[0,1,9223372036854775807]",
          "[0,1,1,7]",
          "[0,1,1,-1,1]",
          "[1,1]",
          "[1,1,0,0,0,0]",
          "[1,1,0,0,0,1,1]"})
        cr_assert_not(load_message::decode(text).has_value(), "%s", text);
}
