#include <criterion/criterion.h>

#include <csignal>
#include <functional>
#include <string>

#include "support/gateway_fixture.hpp"

using namespace almondcart;
using namespace almondcart::test_support;

namespace {

constexpr char const* crash_path = "/unsafe/crash";
constexpr char const* crash_part = "5bad:100";

bool crashes_upstream(http1::request_head const& head)
{
    auto const prompt = find_header(head.headers, "X-Almondcart-Prompt-Prefix").value_or("");
    return head.target == crash_path || prompt.find(crash_part) != std::string_view::npos;
}

/// A gateway before upstreams that some requests crash.
struct crash_fixture : gateway_fixture
{
    crash_fixture()
    {
        start_serving();
        for (auto* upstream : {&first, &second})
            upstream->crash_if(crashes_upstream, [this, upstream] { add(*upstream); });
    }

    int crash_count() const { return first.crash_count() + second.crash_count(); }

    /// Sends one more repeat of the request that crashes upstreams.
    client_response repeat() { return ask(crash_path, "crash-" + std::to_string(++repeats)); }

    void wait(duration time)
    {
        auto const end = loop.now() + time;
        run_until([&] { return loop.now() >= end; });
    }

    /// Sends a model request whose prompt has a common beginning, `part` and an end of its own.
    client_response prompt(std::string const& part)
    {
        auto const n = std::to_string(++repeats);
        auto headers = headers_with_tokens("prompt-" + n, 400, 8);
        headers.emplace_back(
            "X-Almondcart-Prompt-Prefix", "a1:100," + part + ",a2:100," + n + ":100");
        return ask("/unsafe/prompt?n=" + n, headers);
    }

    /// Calls `send`, which returns the status of a response, until `crashes` upstreams have crashed
    /// or the gateway refuses the request, and goes on for the time in which the gateways may learn
    /// of it.
    void send_until_known(int crashes, std::function<int()> const& send)
    {
        constexpr duration pause{250};
        constexpr duration time_to_learn{3000};
        for (int status = 0; crash_count() < crashes && status != 503; wait(pause))
            status = send();
        auto const end = loop.now() + time_to_learn;
        while (loop.now() < end)
        {
            send();
            wait(pause);
        }
    }

    void repeat_until_known()
    {
        send_until_known(3, [this] { return repeat().head.status; });
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

// Requests that are all different crash each upstream by one part of their prompts, amid sound
// requests with the same beginning and the same caller. Guards against sending them on without end,
// and against refusing the sound ones.
Test(gateway_crashes, a_prompt_part_that_crashes_upstreams_is_refused_and_no_other)
{
    crash_fixture it;
    it.send_until_known(
        5,
        [&]
        {
            cr_assert_eq(it.prompt("c1:100").head.status, 200);
            return it.prompt(crash_part).head.status;
        });
    auto const crashes = it.crash_count();
    for (int n = 0; n < 8; ++n)
    {
        cr_assert_eq(it.prompt(crash_part).head.status, 503);
        cr_assert_eq(it.prompt("c1:100").head.status, 200);
        cr_assert_eq(it.prompt("d" + std::to_string(n) + ":100").head.status, 200);
    }
    cr_assert_eq(it.crash_count(), crashes);
}

// As before, with the part that crashes upstreams twice in each prompt. Guards against a gateway
// that stops to serve anything, and against refusing what shares the other parts.
Test(gateway_crashes, a_part_that_stands_twice_in_a_prompt_is_refused_and_no_other)
{
    crash_fixture it;
    auto const deadly = std::string(crash_part) + ",b1:100," + crash_part;
    it.send_until_known(
        5,
        [&]
        {
            cr_assert_eq(it.prompt("b1:100").head.status, 200);
            return it.prompt(deadly).head.status;
        });
    auto const crashes = it.crash_count();
    for (int n = 0; n < 4; ++n)
    {
        cr_assert_eq(it.prompt(deadly).head.status, 503);
        cr_assert_eq(it.prompt("b1:100").head.status, 200);
    }
    cr_assert_eq(it.crash_count(), crashes);
}
