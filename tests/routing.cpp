#include <almondcart/routing/admission_queue.hpp>
#include <almondcart/routing/crash_fence.hpp>
#include <almondcart/routing/crash_suspects.hpp>
#include <almondcart/routing/membership.hpp>
#include <almondcart/routing/order_planner.hpp>
#include <almondcart/routing/retry_budget.hpp>
#include <almondcart/routing/run_placements.hpp>
#include <almondcart/routing/upstream_selector.hpp>

#include <criterion/criterion.h>
#include <rapidcheck.h>

#include <algorithm>
#include <set>

using namespace almondcart;

namespace {

constexpr duration second{1000};

agent_presence create_presence(std::string const& incarnation, bool is_leaving = false)
{
    return {{"agent-m1", incarnation}, "m1", "10.0.0.1:7000", is_leaving};
}

struct membership_fixture
{
    manual_clock clock;
    std::vector<process_id> suspected;
    membership members{{"router-1", "a"}, clock.function(), {{}, [this](process_id const& it) {
                                                                 suspected.push_back(it);
                                                             }}};
};

} // namespace

// Guards against a leaving upstream that receives work for the 30 s by which the VM list lags.
Test(membership, agent_reports_leaving_before_the_list)
{
    membership_fixture it;
    it.members.apply(create_presence("a"));
    it.members.apply({{"10.0.0.1:7000", false}});
    cr_assert(it.members.is_usable("m1"));
    it.members.apply(create_presence("a", true));
    cr_assert(!it.members.is_usable("m1"));
    for (int n = 0; n < 30; ++n)
    {
        it.clock.advance(second);
        it.members.apply({{"10.0.0.1:7000", false}});
        it.members.apply(create_presence("a", false));
        it.members.tick();
        cr_assert_eq(it.members.state_of("m1"), upstream_state::agent_leaving);
    }
}

// Guards against an upstream that stays unusable after its agent was replaced, and against a late
// heartbeat of the replaced agent that changes the state.
Test(membership, new_incarnation_supersedes_the_old)
{
    membership_fixture it;
    it.members.apply(create_presence("a", true));
    cr_assert(it.members.apply(create_presence("b")));
    cr_assert(it.members.is_usable("m1"));
    cr_assert(!it.members.apply(create_presence("a", true)));
    cr_assert(it.members.is_usable("m1"));
    cr_assert_eq(it.members.find_upstream("m1")->agent.incarnation, "b");
}

// Guards against sending work to an agent that was killed, and against heartbeats that override a
// VM list with the VM leaving.
Test(membership, missed_heartbeats_and_vm_list_make_unusable)
{
    membership_fixture it;
    it.members.apply(create_presence("a"));
    it.clock.advance(2 * second);
    cr_assert(it.members.is_usable("m1"));
    it.clock.advance(duration{1});
    cr_assert_eq(it.members.state_of("m1"), upstream_state::heartbeats_missed);
    it.members.apply(create_presence("a"));
    it.members.apply({{"10.0.0.1:7000", true}});
    cr_assert_eq(it.members.state_of("m1"), upstream_state::vm_leaving);
}

// Guards against a dead router that keeps its grants, and against reporting it twice.
Test(membership, silent_peer_is_suspected_once)
{
    membership_fixture it;
    it.members.apply(peer_presence{{"router-2", "a"}, "10.0.0.2:7000", false});
    it.clock.advance(5 * second);
    it.members.tick();
    cr_assert(it.suspected.empty());
    it.clock.advance(duration{1});
    it.members.tick();
    it.members.tick();
    cr_assert_eq(it.suspected.size(), 1U);
    cr_assert(!it.members.is_live_peer({"router-2", "a"}));
    cr_assert(it.members.apply(peer_presence{{"router-2", "b"}, "10.0.0.2:7000", false}));
    cr_assert(it.members.is_live_peer({"router-2", "b"}));
    cr_assert(!it.members.apply(peer_presence{{"router-2", "a"}, "10.0.0.2:7000", false}));
}

// A router is frozen for longer than its timeouts and resumes. Guards against taking agents and
// peers for dead whose heartbeats wait in its connections.
Test(membership, heartbeats_are_not_missed_while_the_router_itself_is_frozen)
{
    membership_fixture it;
    it.members.apply(create_presence("a"));
    it.members.apply(peer_presence{{"router-2", "a"}, "10.0.0.2:7000", false});
    it.clock.advance(duration(100));
    it.members.tick();
    it.clock.advance(60 * second);
    cr_assert(it.members.is_usable("m1"), "before the first tick");
    it.members.tick();
    cr_assert(it.members.is_usable("m1"));
    cr_assert(it.members.is_live_peer({"router-2", "a"}));
    cr_assert(it.suspected.empty());
    // A heartbeat that is late after the freeze as well has been missed.
    for (int n = 0; n < 50; ++n)
    {
        it.clock.advance(duration(100));
        it.members.tick();
    }
    cr_assert_eq(it.members.state_of("m1"), upstream_state::heartbeats_missed);
    cr_assert_eq(it.suspected.size(), 1U);
}

// Guards against two routers that are both primary for a key, which doubles the appends.
Test(membership, routers_agree_on_the_primary)
{
    bool const is_passed = rc::check(
        [](std::string const& key)
        {
            manual_clock clock;
            std::vector<process_id> const routers{{"r1", "a"}, {"r2", "a"}, {"r3", "a"}};
            std::vector<process_id> first;
            for (auto const& self : routers)
            {
                membership members(self, clock.function(), {});
                for (auto const& it : routers)
                    members.apply(peer_presence{it, "", false});
                first.push_back(members.rendezvous_order(key).front());
            }
            RC_ASSERT(first[0] == first[1] && first[1] == first[2]);
        });
    cr_assert(is_passed);
}

namespace {

struct selector_fixture
{
    std::set<std::string> unusable;
    upstream_selector selector{[this](std::string const& it) { return !unusable.contains(it); }};

    explicit selector_fixture(int n = 4)
    {
        std::map<std::string, upstream_traits> traits;
        for (int it = 1; it <= n; ++it)
            traits["m" + std::to_string(it)] = {{"carver-8b"}, "mixed", 8};
        selector.set_upstreams(traits);
    }

    std::string choose(std::string const& prompt, std::vector<std::string> avoid = {}) const
    {
        return selector.select({prompt, "carver-8b", "", std::move(avoid)})->upstream;
    }
};

} // namespace

// Guards against a prefix that moves away from its cache when an unrelated upstream leaves.
Test(upstream_selector, prefix_stays_when_another_upstream_leaves)
{
    bool const is_passed = rc::check(
        [](std::string const& prompt)
        {
            selector_fixture it;
            auto const first = it.choose(prompt);
            RC_ASSERT(it.choose(prompt) == first);
            auto const other = first == "m1" ? "m2" : "m1";
            it.unusable.insert(other);
            RC_ASSERT(it.choose(prompt) == first);
            RC_ASSERT(it.choose(prompt, {first}) != first);
        });
    cr_assert(is_passed);
}

// Guards against selecting an upstream when none is usable or serves the model.
Test(upstream_selector, returns_nothing_without_usable_upstream)
{
    selector_fixture it(2);
    cr_assert(!it.selector.select({"p", "another-model", "", {}}));
    cr_assert(!it.selector.select({"p", "carver-8b", "", {"m1", "m2"}}));
    it.unusable = {"m1", "m2"};
    cr_assert(!it.selector.select({"p", "carver-8b", "", {}}));
}

// Guards against a router that sends all work to one upstream between two load reports.
Test(upstream_selector, own_dispatches_correct_a_stale_report)
{
    selector_fixture it;
    std::map<std::string, int> counts;
    for (auto const* name : {"m1", "m2", "m3", "m4"})
        it.selector.apply(name, load_report{std::string(name) == "m1" ? 0 : 4, 0, 0});
    for (int n = 0; n < 20; ++n)
    {
        auto const chosen = it.choose("one prompt");
        it.selector.dispatched(chosen);
        ++counts[chosen];
    }
    for (auto const& [name, n] : counts)
        cr_assert_leq(n, 8, "%s received %d", name.c_str(), n);
}

// Guards against counting a request twice once the load report includes it.
Test(upstream_selector, load_report_includes_received_requests)
{
    selector_fixture it;
    for (int n = 0; n < 3; ++n)
        it.selector.dispatched("m1");
    it.selector.apply("m1", load_report{5, 0, 2});
    cr_assert_eq(it.selector.load_of("m1"), 6);
    it.selector.finished("m1", 0);
    cr_assert_eq(it.selector.load_of("m1"), 5);
    it.selector.apply("m1", load_report{4, 0, 3});
    cr_assert_eq(it.selector.load_of("m1"), 4);
}

// Guards against cache hints that stay after an eviction event was lost.
Test(upstream_selector, gap_in_cache_events_drops_hints)
{
    selector_fixture it;
    it.selector.apply("m1", cache_event{1, cache_event_kind::stored, 77});
    cr_assert(it.selector.is_hinted("m1", 77));
    it.selector.apply("m1", cache_event{3, cache_event_kind::stored, 78});
    cr_assert(!it.selector.is_hinted("m1", 77));
    cr_assert(it.selector.is_hinted("m1", 78));
    it.selector.apply("m1", cache_event{2, cache_event_kind::evicted, 78});
    cr_assert(it.selector.is_hinted("m1", 78));
}

namespace {

struct queue_fixture
{
    manual_clock clock;
    std::vector<std::uint64_t> dispatched;
    std::map<std::uint64_t, refusal> refused;
    admission_queue queue;

    explicit queue_fixture(admission_settings settings = {})
        : queue(
              clock.function(),
              {[this](std::uint64_t it) { dispatched.push_back(it); },
               [this](std::uint64_t it, refusal const& reason) { refused[it] = reason; }},
              settings)
    {}

    std::optional<refusal>
    add(std::uint64_t ticket,
        int priority = 0,
        std::string const& account = "a",
        duration deadline = duration{60'000})
    {
        return queue.try_enqueue({ticket, account, "kind", priority, clock.now() + deadline});
    }
};

} // namespace

// Guards against running a request whose deadline has passed in the queue.
Test(admission_queue, expired_entries_are_refused_and_never_dispatched)
{
    queue_fixture it;
    it.queue.set_limit(1);
    it.add(1);
    it.add(2, 0, "a", duration{2000});
    it.clock.advance(duration{2000});
    it.queue.finished(1);
    it.queue.tick();
    it.queue.set_limit(8);
    cr_assert_eq(it.dispatched, (std::vector<std::uint64_t>{1}));
    cr_assert_eq(it.refused.at(2).code, result_code::deadline_passed);
    cr_assert_eq(it.refused.at(2).ran, execution_state::no);
    cr_assert_eq(it.add(3, 0, "a", duration{0})->code, result_code::deadline_passed);
}

// Guards against queueing a request that cannot meet its deadline and is refused only later.
Test(admission_queue, refuses_early_what_cannot_meet_its_deadline)
{
    queue_fixture it;
    it.queue.set_limit(1);
    for (std::uint64_t n = 1; n <= 5; ++n)
        cr_assert(!it.add(n));
    auto const reason = it.add(6, 0, "a", duration{1000});
    cr_assert_eq(reason->code, result_code::overloaded);
    cr_assert_eq(reason->ran, execution_state::no);
    cr_assert_gt(reason->retry_after->count(), 0);
    cr_assert(it.refused.empty());
}

// Guards against a full queue of low-priority work that blocks work of a higher priority.
Test(admission_queue, full_queue_sheds_the_lowest_priority)
{
    admission_settings settings;
    settings.capacity = 3;
    queue_fixture it(settings);
    it.queue.set_limit(0);
    it.add(1, 1);
    it.add(2, 2, "a");
    it.add(3, 2, "b");
    cr_assert_eq(it.add(4, 2)->code, result_code::overloaded);
    cr_assert(!it.add(5, 0));
    cr_assert_eq(it.refused.size(), 1U);
    cr_assert_eq(it.refused.begin()->second.code, result_code::overloaded);
    cr_assert_eq(it.queue.waiting(2), 1U);
    cr_assert(!it.add(6, 1));
    cr_assert_eq(it.queue.waiting(2), 0U);
    cr_assert_eq(it.queue.waiting(0), 1U);
}

// Guards against a busy account that starves the others of its priority, and against reordering
// within an account.
Test(admission_queue, accounts_are_served_round_robin)
{
    queue_fixture it;
    it.queue.set_limit(0);
    for (std::uint64_t n = 1; n <= 50; ++n)
        it.add(n, 0, "busy");
    it.add(100, 0, "quiet");
    it.add(101, 0, "quiet");
    it.queue.set_limit(4);
    cr_assert_eq(it.dispatched, (std::vector<std::uint64_t>{1, 100, 2, 101}));
}

// Guards against interactive work that waits for a long request of a lower priority.
Test(admission_queue, reserves_slots_for_interactive_work)
{
    queue_fixture it;
    it.queue.set_limit(10);
    it.add(1, 0);
    for (std::uint64_t n = 2; n <= 20; ++n)
        it.add(n, 3);
    cr_assert_lt(it.queue.running(), 10);
    auto const running = it.queue.running();
    it.add(100, 0);
    cr_assert_eq(it.queue.running(), running + 1);
    cr_assert_eq(it.dispatched.back(), 100U);
}

// Guards against a burst of slow responses after which the queue refuses everything forever:
// without dispatches there are no new samples to lower the estimate.
Test(admission_queue, recovers_from_a_high_estimate)
{
    queue_fixture it;
    it.queue.set_limit(1);
    std::uint64_t ticket = 0;
    for (int n = 0; n < 50; ++n)
    {
        it.add(++ticket);
        it.clock.advance(duration{5000});
        it.queue.first_byte(ticket);
        it.queue.finished(ticket, false);
    }
    cr_assert_eq(it.add(++ticket, 0, "a", duration{1300})->code, result_code::overloaded);
    it.clock.advance(duration{10'000});
    cr_assert(!it.add(++ticket, 0, "a", duration{1300}));
}

// Guards against lost or duplicated requests, running more than the limit, and dispatches after the
// deadline, for random sequences of events.
Test(admission_queue, every_request_ends_exactly_once)
{
    bool const is_passed = rc::check(
        [](std::vector<std::uint8_t> const& steps)
        {
            admission_settings settings;
            settings.capacity = 5;
            queue_fixture it(settings);
            std::map<std::uint64_t, instant> deadlines;
            std::set<std::uint64_t> running;
            std::set<std::uint64_t> rejected;
            std::uint64_t ticket = 0;
            std::size_t checked = 0;
            it.queue.set_limit(3);
            for (auto const step : steps)
            {
                if (step % 4 < 2)
                {
                    ++ticket;
                    duration const deadline{200 + step * 20};
                    deadlines[ticket] = it.clock.now() + deadline;
                    if (it.add(ticket, step % 3, step % 5 == 0 ? "a" : "b", deadline))
                        rejected.insert(ticket);
                }
                else if (step % 4 == 2 && !running.empty())
                {
                    it.queue.finished(*running.begin());
                    running.erase(running.begin());
                }
                else
                {
                    it.clock.advance(duration{step});
                    it.queue.tick();
                }
                for (; checked < it.dispatched.size(); ++checked)
                {
                    RC_ASSERT(running.insert(it.dispatched[checked]).second);
                    RC_ASSERT(deadlines.at(it.dispatched[checked]) > it.clock.now());
                }
                RC_ASSERT(it.queue.running() <= 3);
            }
            RC_ASSERT(
                it.dispatched.size() + it.refused.size() + rejected.size() + it.queue.waiting() ==
                ticket);
        });
    cr_assert(is_passed);
}

// Guards against retries that multiply the load during a brown-out.
Test(retry_budget, retries_are_a_fraction_of_the_traffic)
{
    manual_clock clock;
    retry_budget budget(clock.function());
    int retries = 0;
    for (int n = 0; n < 1000; ++n)
    {
        clock.advance(duration{10});
        budget.count_request();
        for (int attempt = 0; attempt < 3; ++attempt)
            retries += budget.try_retry({true, false}) ? 1 : 0;
    }
    cr_assert_leq(retries, 103);
    cr_assert_geq(retries, 100);
}

// Guards against retrying work that must not run twice or whose response has begun.
Test(retry_budget, only_idempotent_work_before_the_first_byte)
{
    manual_clock clock;
    retry_budget budget(clock.function());
    clock.advance(duration{60'000});
    auto const before = budget.available();
    cr_assert(!budget.try_retry({false, false}));
    cr_assert(!budget.try_retry({true, true}));
    cr_assert_eq(budget.available(), before);
    cr_assert(budget.try_retry({true, false}));
}

namespace {

upstream_crash crash_of(
    std::string const& id,
    std::string const& upstream,
    std::vector<crash_participant> requests)
{
    return {id, upstream, "agent-" + upstream + "@a", std::move(requests)};
}

} // namespace

// Guards against refusing or blocking innocent requests of a crash: after they complete on their
// retry, repeated reports do not make them suspects again.
Test(crash_suspects, innocent_request_is_cleared_by_completion)
{
    manual_clock clock;
    crash_suspects suspects(clock.function(), {});
    auto const crash = crash_of("c1", "m1", {{"s/a#1", "bad", false}, {"s/a#2", "good", false}});
    suspects.apply(crash);
    cr_assert_eq(suspects.check("good"), suspicion::suspect);
    cr_assert(suspects.try_start("good", "m2"));
    cr_assert(!suspects.try_start("bad", "m2"), "two suspects on one upstream");
    cr_assert(!suspects.try_start("good", "m3"), "two runs of one suspect");
    suspects.finished("good", suspect_result::completed);
    suspects.apply(crash);
    cr_assert_eq(suspects.check("good"), suspicion::none);
    cr_assert_eq(suspects.check("bad"), suspicion::suspect);
}

// Guards against suspecting requests that ran beside an identified suspect, also at a router that
// has not received the report of the first crash.
Test(crash_suspects, second_crash_identifies_only_the_suspect)
{
    for (bool const has_first : {true, false})
    {
        manual_clock clock;
        std::vector<crash_record> records;
        crash_suspects suspects(
            clock.function(), {[&](auto const&, auto const& it) { records = it; }, {}});
        if (has_first)
            suspects.apply(crash_of("c1", "m1", {{"s/a#1", "bad", false}}));
        suspects.apply(crash_of("c2", "m2", {{"s/a#1", "bad", true}, {"s/a#3", "near", false}}));
        cr_assert_eq(suspects.check("bad"), suspicion::blocked);
        cr_assert_eq(suspects.check("near"), suspicion::none);
        cr_assert_eq(records.size(), has_first ? 2U : 1U);
    }
}

// Guards against routers that disagree because reports arrive in different orders or repeatedly.
Test(crash_suspects, order_and_repetition_of_reports_do_not_matter)
{
    bool const is_passed = rc::check(
        []
        {
            std::vector<upstream_crash> const crashes{
                crash_of("c1", "m1", {{"1", "bad", false}, {"2", "x", false}, {"3", "y", false}}),
                crash_of("c2", "m2", {{"1", "bad", true}, {"4", "z", false}}),
                crash_of("c3", "m3", {{"5", "y", false}, {"6", "w", false}})};
            auto const order = *rc::gen::container<std::vector<std::size_t>>(
                12, rc::gen::inRange<std::size_t>(0, 3));
            manual_clock clock;
            crash_suspects one(clock.function(), {});
            crash_suspects two(clock.function(), {});
            for (auto const& it : crashes)
                one.apply(it);
            for (auto const it : order)
                two.apply(crashes[it]);
            for (auto const& it : crashes)
                two.apply(it);
            for (auto const* it : {"bad", "x", "y", "z", "w"})
                RC_ASSERT(one.check(it) == two.check(it));
            RC_ASSERT(one.check("y") == suspicion::blocked);
        });
    cr_assert(is_passed);
}

// Guards against a crash report that overrides a completion which a peer reported earlier, so that
// only this router treats the fingerprint as a suspect.
Test(crash_suspects, clearing_may_arrive_before_the_report)
{
    manual_clock clock;
    crash_suspects suspects(clock.function(), {});
    suspects.clear("good", {{"c1", "m1"}});
    suspects.apply(crash_of("c1", "m1", {{"1", "good", false}, {"2", "bad", false}}));
    cr_assert_eq(suspects.check("good"), suspicion::none);
    cr_assert_eq(suspects.check("bad"), suspicion::suspect);
}

// Guards against sending a suspect to one upstream after another when its run was lost with the
// agent.
Test(crash_suspects, lost_run_withholds_the_suspect)
{
    manual_clock clock;
    crash_suspects suspects(clock.function(), {});
    suspects.apply(crash_of("c1", "m1", {{"1", "bad", false}}));
    cr_assert(suspects.try_start("bad", "m2"));
    suspects.finished("bad", suspect_result::lost);
    cr_assert_eq(suspects.check("bad"), suspicion::withheld);
    clock.advance(duration{3'600'001});
    suspects.tick();
    cr_assert_eq(suspects.check("bad"), suspicion::none);
}

// Guards against an agent that runs two suspects of different routers at the same time, or runs a
// fingerprint again that crashed its upstream before.
Test(crash_fence, one_suspect_at_a_time_and_none_twice)
{
    crash_fence fence;
    cr_assert(!fence.try_start("1", "f1", true));
    cr_assert_eq(*fence.try_start("2", "f2", true), result_code::overloaded);
    cr_assert(!fence.try_start("3", "f3", false));
    fence.crashed();
    cr_assert_eq(*fence.try_start("4", "f1", true), result_code::request_crashes_upstreams);
    cr_assert(!fence.try_start("5", "f3", false), "ran beside an identified suspect");
    fence.clear("f1");
    cr_assert(!fence.try_start("6", "f1", false));
}

// Guards against a request that brings down more than two upstreams when its client sends it
// through several routers, before or after they receive the crash reports.
Test(run_placements, one_request_brings_down_at_most_two_upstreams)
{
    bool const is_passed = rc::check(
        [](std::vector<std::uint16_t> const& steps)
        {
            constexpr std::size_t routers = 4;
            constexpr std::size_t upstreams = 6;
            manual_clock clock;
            run_placements home(clock.function());
            std::vector<std::unique_ptr<crash_suspects>> suspects;
            for (std::size_t it = 0; it < routers; ++it)
                suspects.push_back(
                    std::make_unique<crash_suspects>(clock.function(), crash_suspects_hooks{}));
            std::vector<crash_fence> fences(upstreams);
            std::vector<int> running(upstreams, 0);
            std::vector<upstream_crash> reports;
            std::set<std::string> crashed_upstreams;
            auto const number_of = [](std::string const& name)
            { return static_cast<std::size_t>(name.at(1) - '0'); };
            for (auto const step : steps)
            {
                auto& router = *suspects[step % routers];
                auto const target = static_cast<std::size_t>(step / 16) % upstreams;
                switch (step / 4 % 4)
                {
                case 0:
                case 1:
                { // The client sends the request through a router.
                    auto const state = router.check("bad");
                    if (state == suspicion::blocked)
                        break;
                    auto const placed = home.place(
                        {"bad", "m" + std::to_string(target), router.crashes_of("bad"), {}});
                    router.add("bad", placed.crashes);
                    if (placed.state == placement_state::refused)
                        break;
                    bool const is_suspect = placed.state == placement_state::suspect;
                    auto const at = number_of(placed.upstream);
                    if (is_suspect && !router.try_start("bad", placed.upstream))
                        break;
                    auto const id = std::to_string(step) + "-" + std::to_string(running[at]);
                    if (!fences[at].try_start(id, "bad", is_suspect))
                        ++running[at];
                    else
                        router.finished("bad", suspect_result::not_run);
                    break;
                }
                case 2: // An upstream that runs it crashes. Reports arrive later.
                    if (running[target] == 0)
                        break;
                    crashed_upstreams.insert("m" + std::to_string(target));
                    reports.push_back(crash_of(
                        "c" + std::to_string(reports.size()),
                        "m" + std::to_string(target),
                        {{"1", "bad", fences[target].is_suspect_running()}}));
                    fences[target].crashed();
                    running[target] = 0;
                    break;
                default: // A report reaches one router.
                    if (!reports.empty())
                        router.apply(reports[target % reports.size()]);
                    break;
                }
            }
            RC_ASSERT(crashed_upstreams.size() <= 2U);
        });
    cr_assert(is_passed);
}

namespace {

struct planner_fixture
{
    manual_clock clock;
    order_planner planner{clock.function(), [](std::string const&) { return true; }};

    void report(std::string const& upstream, std::int64_t fencing_number = -1)
    {
        planner.apply(reported_upstream{upstream, upstream + "@a", {}, "mixed", fencing_number});
    }
};

} // namespace

// Guards against model loads beyond the weight store's rate limit, and against an upstream that is
// never loaded.
Test(order_planner, loads_stay_within_the_rate)
{
    planner_fixture it;
    std::vector<desired_upstream> desired;
    for (int n = 0; n < 20; ++n)
    {
        desired.push_back({"m" + std::to_string(n), {"carver-8b"}, "mixed"});
        it.report(desired.back().upstream);
    }
    it.planner.set_desired("s", 7, desired);
    std::set<std::string> loaded;
    for (int n = 0; n < 199; ++n)
    {
        for (auto const& order : it.planner.due())
        {
            loaded.insert(order.upstream);
            cr_assert_eq(order.fencing_number, 7);
            it.planner.apply(reported_upstream{
                order.upstream, order.upstream + "@a", {"carver-8b"}, "mixed", 7});
        }
        cr_assert_leq(loaded.size(), static_cast<std::size_t>(n / 10 + 1));
        it.clock.advance(second);
    }
    cr_assert_eq(loaded.size(), 20U);
}

// Guards against sending an order of an older document after one of a newer document.
Test(order_planner, older_orders_never_follow_newer_ones)
{
    planner_fixture it;
    it.report("m1");
    it.planner.set_desired("s", 9, {{"m1", {}, "decode"}});
    auto const orders = it.planner.due();
    cr_assert_eq(orders.size(), 1U);
    cr_assert_eq(orders[0].fencing_number, 9);
    it.planner.set_desired("s", 8, {{"m1", {}, "prefill"}});
    it.clock.advance(duration{60'000});
    cr_assert_eq(it.planner.due().at(0).role, "decode");
    it.report("m1", 12);
    it.clock.advance(duration{60'000});
    cr_assert(it.planner.due().empty(), "the agent follows a newer document");
}

// Guards against sending an order again with every heartbeat until it has taken effect.
Test(order_planner, unconfirmed_orders_are_repeated_after_a_delay)
{
    planner_fixture it;
    it.report("m1");
    it.planner.set_desired("s", 9, {{"m1", {}, "decode"}});
    cr_assert_eq(it.planner.due().size(), 1U);
    it.report("m1", 9);
    cr_assert(it.planner.due().empty());
    it.clock.advance(duration{30'000});
    cr_assert_eq(it.planner.due().size(), 1U);
}
