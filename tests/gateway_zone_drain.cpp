#include <criterion/criterion.h>

#include <csignal>
#include <string>

#include "support/gateway_fixture.hpp"

using namespace almondcart;
using namespace almondcart::test_support;
using standins::upstream_mode;

namespace {

/// Gateway before one upstream in each of two zones, which answer by path.
struct drain_fixture : gateway_fixture
{
    drain_fixture()
    {
        second.set_zone("zone-2");
        configure(1, 1'000'000);
        add(first);
        add(second);
        wait_until_ready();
        wait_for_output("upstream=i-2");
        for (auto* upstream : {&first, &second})
            upstream->set_mode(upstream_mode::by_path);
    }

    void drain(std::string const& zone, std::string const& value = "{}")
    {
        store.put("keyed.op", "evacuate/" + zone, value);
        wait_for_output("[drain] zone=" + zone);
    }

    /// Requests of all kinds that reach the first upstream, which is the nearest; all are answered.
    std::size_t count_at_first(std::string const& name)
    {
        auto const before = first.request_heads().size();
        for (int n = 0; n < 5; ++n)
        {
            for (auto const* path : {"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"})
                cr_assert_eq(ask(path, path + std::to_string(n) + name).head.status, 200);
        }
        return first.request_heads().size() - before;
    }

    /// Ends the gateway as a loss of power would, and starts another one.
    void kill_and_start()
    {
        gateway->send_signal(SIGKILL);
        gateway->wait();
        start();
    }
};

} // namespace

// Guards against requests for a zone that is drained while the store is away, and against a drain
// that an outage of the store or a malformed configuration ends.
Test(gateway_zone_drain, a_drain_holds_while_the_store_is_away)
{
    drain_fixture it;
    cr_assert_gt(it.count_at_first("before"), 0);
    it.drain("zone-1");
    it.store.set_down(true);
    it.store.abort_pending_reads();
    cr_assert_eq(it.count_at_first("down"), 0);
    it.store.put("keyed.op", "config", "{");
    it.store.compact("keyed.op");
    it.store.set_down(false);
    it.wait_for_output("rejected");
    cr_assert_eq(it.count_at_first("back"), 0);
    cr_assert_eq(it.output().find("zone=zone-1", it.output().find("drained")), std::string::npos);
}

// Guards against a zone that stays drained after its key was removed, and against a drain that a
// malformed value prevents.
Test(gateway_zone_drain, the_end_of_a_drain_opens_the_zone)
{
    drain_fixture it;
    it.drain("zone-1", "no JSON");
    cr_assert_neq(it.output().find("malformed value"), std::string::npos);
    cr_assert_eq(it.count_at_first("drained"), 0);
    it.store.remove("keyed.op", "evacuate/zone-1");
    it.wait_for_output("ended");
    cr_assert_gt(it.count_at_first("ended"), 0);
}

// Guards against a gateway that forwards before it knows of the drain: one that starts during it,
// also with pages of one record, and one whose predecessors were all killed.
Test(gateway_zone_drain, a_gateway_that_starts_during_a_drain_keeps_to_it)
{
    drain_fixture it;
    it.store.set_page_limit(1);
    it.drain("zone-1");
    it.store.set_down(true);
    it.kill_and_start();
    it.run_until([&] { return it.ask("/safe/x", "early").head.status == 503; });
    cr_assert_neq(it.readiness_status(), 200);
    it.store.set_down(false);
    it.wait_until_ready();
    it.run_until([&] { return it.ask("/safe/x", "late").head.status == 200; });
    cr_assert_eq(it.count_at_first("after"), 0);
}

// Guards against requests that wait, or that reach an upstream, when only drained ones are left.
Test(gateway_zone_drain, requests_are_refused_at_once_when_all_zones_are_drained)
{
    drain_fixture it;
    it.drain("zone-1");
    it.drain("zone-2");
    auto const before = it.first.request_heads().size() + it.second.request_heads().size();
    auto const start = it.loop.now();
    for (auto const* path : {"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"})
    {
        auto const refused = it.ask(path, std::string("r") + path);
        cr_assert_eq(refused.head.status, 503);
        cr_assert_not(refused.header("Retry-After").empty());
    }
    cr_assert(it.loop.now() - start < duration(1000));
    cr_assert_eq(it.first.request_heads().size() + it.second.request_heads().size(), before);
}

// Guards against a stream that continues in a drained zone, at an upstream that was not tried.
Test(gateway_zone_drain, a_stream_does_not_continue_in_a_drained_zone)
{
    drain_fixture it;
    it.fill_retry_budget();
    it.add(it.first, "draining");
    it.wait_for_output("address=" + it.first.address() + " draining=true");
    it.second.set_mode(upstream_mode::truncated_stream);
    auto const stream =
        it.send(it.listen, "POST", "/resume/x", gateway_fixture::client_headers("r-1"));
    it.run_until([&] { return stream->body.find("id: 3") != std::string::npos; });
    it.drain("zone-1");
    auto const added = it.output().size();
    it.add(it.first);
    it.run_until(
        [&]
        {
            return it.output().find("address=" + it.first.address() + " draining=false", added) !=
                   std::string::npos;
        });
    auto const before = it.first.request_heads().size();
    it.second.release();
    it.run_until([&] { return stream->end.has_value(); });
    cr_assert_not(stream->is_complete());
    cr_assert_eq(it.first.request_heads().size(), before);
}
