#include <criterion/criterion.h>

#include <csignal>
#include <string>

#include "support/gateway_fixture.hpp"

using namespace almondcart;
using namespace almondcart::test_support;

namespace {

/// Gateway before one upstream of a service with a limit for cold ones.
struct cold_fixture : gateway_fixture
{
    cold_fixture()
    {
        cold_per_second = limit;
        configure(1, 1'000'000);
    }

    static constexpr int limit = 4;

    /// Sends requests one after another for less than a second. Returns how many were served; the
    /// others were refused as not run.
    int serve_for(duration time)
    {
        int served = 0;
        auto const end = loop.now() + time;
        while (loop.now() < end)
        {
            auto const answer = ask("/safe/x", "r-" + std::to_string(++sent));
            cr_assert(answer.head.status == 200 || answer.head.status == 503);
            served += answer.head.status == 200 ? 1 : 0;
        }
        return served;
    }

    int sent = 0;
};

} // namespace

// Guards against full load on an upstream whose entry says that it is cold, also for the second
// time, and on one whose process may have started anew after a lost connection.
Test(gateway_cold_start, a_cold_upstream_gets_no_more_than_its_limit)
{
    cold_fixture it;
    it.first.set_cold_left(duration(60'000));
    it.add(it.first);
    it.wait_until_ready();
    cr_assert_leq(it.serve_for(duration(700)), cold_fixture::limit);
    it.first.set_cold_left(duration(0));
    it.add(it.first);
    it.wait_for_output("upstream=i-1 started_ms=1 warm");
    cr_assert_gt(it.serve_for(duration(700)), 3 * cold_fixture::limit);
    it.first.set_mode(standins::upstream_mode::dropped_connection);
    cr_assert_eq(it.ask("/unsafe/x", "lost").head.status, 502);
    it.first.set_mode(standins::upstream_mode::single_body);
    cr_assert_leq(it.serve_for(duration(700)), cold_fixture::limit);
}

// Guards against a zone that gets its full load at the moment in which its drain ends.
Test(gateway_cold_start, upstreams_are_cold_after_a_drain)
{
    cold_fixture it;
    it.add(it.first);
    it.wait_until_ready();
    it.store.put("keyed.op", "evacuate/zone-1", "{}");
    it.wait_for_output("[drain] zone=zone-1");
    it.store.remove("keyed.op", "evacuate/zone-1");
    it.run_until([&] { return it.ask("/safe/x", "first").head.status == 200; });
    cr_assert_leq(it.serve_for(duration(700)), cold_fixture::limit);
}

// Guards against a gateway that the others do not count, because it serves before its record is on
// the log, and against names of stopped gateways that lower the shares for ever.
Test(gateway_cold_start, a_gateway_is_known_from_its_readiness_to_its_planned_stop)
{
    cold_fixture it;
    it.store.put("keyed.gateways", "entry-2", "{}");
    it.first.set_cold_left(duration(60'000));
    it.add(it.first);
    it.wait_until_ready();
    cr_assert(it.store.newest("keyed.gateways", "entry-1").has_value());
    it.wait_for_output("cold gateways=2");
    cr_assert_leq(it.serve_for(duration(700)), cold_fixture::limit / 2);
    it.gateway->send_signal(SIGTERM);
    it.run_until([&] { return it.store.newest("keyed.gateways", "entry-1").value_or("").empty(); });
    it.run_until([&] { return it.gateway->try_wait().has_value(); });
}
