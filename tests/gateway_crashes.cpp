#include <criterion/criterion.h>

#include <csignal>
#include <string>

#include "support/gateway_fixture.hpp"

using namespace almondcart;
using namespace almondcart::test_support;

namespace {

constexpr char const* crash_path = "/unsafe/crash";

/// A gateway before upstreams that a request to `crash_path` crashes.
struct crash_fixture : gateway_fixture
{
    crash_fixture()
    {
        start_serving();
        for (auto* upstream : {&first, &second})
            upstream->crash_on(crash_path, [this, upstream] { add(*upstream); });
    }

    int crash_count() const { return first.crash_count() + second.crash_count(); }

    /// Sends one more repeat of the request that crashes upstreams.
    client_response repeat() { return ask(crash_path, "crash-" + std::to_string(++repeats)); }

    void wait(duration time)
    {
        auto const end = loop.now() + time;
        run_until([&] { return loop.now() >= end; });
    }

    /// Repeats the request until it has crashed three upstreams, and goes on for the time in which
    /// the gateways may learn of it.
    void repeat_until_known()
    {
        constexpr duration pause{250};
        constexpr duration time_to_learn{3000};
        while (crash_count() < 3)
        {
            repeat();
            wait(pause);
        }
        auto const end = loop.now() + time_to_learn;
        while (loop.now() < end)
        {
            repeat();
            wait(pause);
        }
    }

    int repeats = 0;
};

} // namespace

// A request that crashes each upstream that runs it comes again and again, with a new id each time.
// Guards against sending it on after it has crashed three of them.
Test(gateway_crashes, a_request_that_crashed_three_upstreams_is_not_sent_again)
{
    crash_fixture it;
    it.repeat_until_known();
    auto const crashes = it.crash_count();
    for (int n = 0; n < 8; ++n)
    {
        auto const response = it.repeat();
        cr_assert_eq(response.head.status, 503);
        cr_assert_not(response.header("Retry-After").empty());
        cr_assert_eq(it.ask("/unsafe/x", "sound-" + std::to_string(n)).head.status, 200);
    }
    cr_assert_eq(it.crash_count(), crashes);
}

// Guards against a gateway that starts, or has no such request itself, after others have seen the
// crashes.
Test(gateway_crashes, a_gateway_learns_of_crash_requests_from_the_log)
{
    crash_fixture it;
    it.repeat_until_known();
    auto const crashes = it.crash_count();
    it.gateway->send_signal(SIGKILL);
    it.gateway->wait();
    it.vm = "entry-2";
    it.write_settings();
    it.start();
    it.wait_until_ready();
    it.wait(duration(1000));
    for (int n = 0; n < 4; ++n)
        cr_assert_eq(it.repeat().head.status, 503);
    cr_assert_eq(it.crash_count(), crashes);
}
