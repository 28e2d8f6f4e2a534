#include <almondcart/forwarding/log_path_selector.hpp>

#include <criterion/criterion.h>

#include <map>
#include <string>
#include <vector>

using namespace almondcart;
using namespace almondcart::forwarding;

namespace {

constexpr duration short_time{4};

struct selector_fixture
{
    selector_fixture()
    {
        paths.set_relays(
            {{"near-1", "zone-1"}, {"near-2", "zone-1"}, {"far-1", "zone-2"}, {"far-2", "zone-3"}});
    }

    /// Records that a call was answered through a relay while its direct copy was not.
    void bypass()
    {
        auto const relay = paths.choose_relay({});
        paths.record(*relay, log_path_result::answered, short_time);
        paths.record_bypass(log_path_result::lost);
    }

    manual_clock clock;
    std::vector<bool> changes;
    log_path_selector paths{
        {.availability_zone = "zone-1", .seed = 7},
        {clock.function(), [this](bool is_up, std::string_view) { changes.push_back(is_up); }}};
};

} // namespace

// Guards against relays in the path of calls that the log answers directly.
Test(log_path_selector, calls_go_directly_while_that_path_works)
{
    selector_fixture it;
    cr_assert(it.paths.choose().is_direct());
    it.paths.record({}, log_path_result::lost, duration(2'500));
    it.paths.record({}, log_path_result::refused, short_time);
    cr_assert(it.paths.choose().is_direct(), "the log itself may be away");
    cr_assert(it.changes.empty());
}

// The log turns calls of all processes away. Guards against taking that for a path that is cut, for
// a relay that is gone, or for a log that answers fast.
Test(log_path_selector, an_overloaded_log_is_reached)
{
    selector_fixture it;
    for (int n = 0; n < 10; ++n)
        it.paths.record({}, log_path_result::answered, duration(200));
    auto const limit = it.paths.silence_limit();
    it.paths.record({}, log_path_result::overloaded, duration(1));
    cr_assert_eq(it.paths.silence_limit().count(), limit.count());
    it.bypass();
    auto const relay = it.paths.choose();
    it.paths.record(relay, log_path_result::overloaded, short_time);
    cr_assert_eq(it.paths.choose().relay, relay.relay);
    it.paths.record({}, log_path_result::overloaded, short_time);
    cr_assert(it.paths.is_direct_up());
}

// An entry VM is cut from the log, and the relays are not. Guards against calls that keep using the
// path that is cut, and against staying on relays once it is back.
Test(log_path_selector, a_cut_direct_path_is_bypassed_until_a_probe_gets_through)
{
    selector_fixture it;
    it.bypass();
    cr_assert_not(it.paths.is_direct_up());
    cr_assert_eq(it.paths.choose().relay.substr(0, 4), "near");
    cr_assert(it.paths.try_begin_probe(), "only a connection may have failed");
    cr_assert_not(it.paths.try_begin_probe());
    it.clock.advance(duration(500));
    cr_assert(it.paths.try_begin_probe());
    it.paths.record({}, log_path_result::refused, short_time);
    cr_assert_not(it.paths.is_direct_up(), "a refusal does not show that this VM is served");
    it.paths.record({}, log_path_result::answered, short_time);
    cr_assert(it.paths.choose().is_direct());
    cr_assert_not(it.paths.try_begin_probe());
    cr_assert_eq(it.changes.size(), 2);
}

// A relay is lost, frozen or cut as well. Guards against calls that keep waiting for it.
Test(log_path_selector, a_relay_that_does_not_pass_calls_on_is_replaced)
{
    selector_fixture it;
    it.bypass();
    auto const first = it.paths.choose();
    it.paths.record(first, log_path_result::lost, duration(150));
    auto const second = it.paths.choose();
    cr_assert_neq(second.relay, first.relay);
    cr_assert_eq(second.relay.substr(0, 4), "near");
    it.paths.record(second, log_path_result::unreachable, duration(150));
    cr_assert_eq(it.paths.choose().relay.substr(0, 3), "far", "none in the zone is left");
    it.clock.advance(duration(2'000));
    it.paths.set_relays({{"far-9", "zone-2"}, {first.relay, "zone-1"}});
    cr_assert_eq(it.paths.choose().relay, first.relay);
}

// Guards against all gateways of a zone using one relay.
Test(log_path_selector, gateways_spread_over_the_relays_of_their_zone)
{
    std::map<std::string, int> counts;
    for (std::uint64_t seed = 1; seed <= 100; ++seed)
    {
        manual_clock clock;
        log_path_selector paths(
            {.availability_zone = "zone-1", .seed = seed * 0x9e3779b97f4a7c15U},
            {clock.function(), {}});
        paths.set_relays({{"near-1", "zone-1"}, {"near-2", "zone-1"}, {"far-1", "zone-2"}});
        ++counts[paths.choose_relay({})->relay];
    }
    cr_assert_eq(counts.size(), 2);
    cr_assert_gt(counts["near-1"], 25);
    cr_assert_gt(counts["near-2"], 25);
}

// The log is down for everybody. Guards against sending each call several times meanwhile, and
// against relays that stay blocked once it is back.
Test(log_path_selector, an_outage_of_the_log_does_not_multiply_calls)
{
    selector_fixture it;
    auto const relay = it.paths.choose_relay({});
    it.paths.record(*relay, log_path_result::lost, duration(150));
    it.paths.record_futile();
    cr_assert_not(it.paths.choose_relay({}).has_value());
    cr_assert(it.paths.choose().is_direct());
    it.clock.advance(duration(500));
    cr_assert(it.paths.choose_relay({}).has_value());
    cr_assert(it.changes.empty(), "the direct path is no worse than the others");
}

// Guards against taking a slow log for a path that is cut.
Test(log_path_selector, the_silence_limit_follows_the_answer_time)
{
    selector_fixture it;
    cr_assert_eq(it.paths.silence_limit().count(), 150);
    for (int n = 0; n < 10; ++n)
        it.paths.record({}, log_path_result::answered, duration(200));
    cr_assert_geq(it.paths.silence_limit().count(), 600);
}

// Guards against a process without relays that waits for one.
Test(log_path_selector, without_relays_every_call_is_direct)
{
    manual_clock clock;
    log_path_selector paths({}, {clock.function(), {}});
    cr_assert_not(paths.choose_relay({}).has_value());
    paths.record_bypass(log_path_result::lost);
    cr_assert(paths.choose().is_direct());
}

// The store answers 429 to some gateways and serves the others, for seconds. Guards against calls
// that keep to a path on which none is served, and against relays being used as soon as an
// overloaded store turns some calls away.
Test(log_path_selector, a_gateway_that_alone_is_turned_away_counts_as_shut_out)
{
    selector_fixture it;
    for (int i = 0; i < 20; ++i)
    {
        it.clock.advance(duration(50));
        it.paths.record({}, log_path_result::overloaded, duration(4));
        if (i % 4 == 0)
            it.paths.record({}, log_path_result::answered, duration(4));
        cr_assert_not(it.paths.is_shut_out(), "some calls are served");
    }
    for (int i = 0; i < 20; ++i)
    {
        it.clock.advance(duration(50));
        it.paths.record({}, log_path_result::overloaded, duration(4));
    }
    cr_assert(it.paths.is_shut_out());
    it.paths.record_bypass(log_path_result::overloaded);
    it.paths.record({}, log_path_result::overloaded, duration(4));
    cr_assert_not(it.paths.is_direct_up(), "a probe that is turned away does not end the bypass");
    it.paths.record({}, log_path_result::answered, duration(4));
    cr_assert(it.paths.is_direct_up());
    cr_assert_not(it.paths.is_shut_out());
}
