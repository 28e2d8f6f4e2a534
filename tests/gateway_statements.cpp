#include <criterion/criterion.h>

#include <set>
#include <string>

#include "support/gateway_fixture.hpp"

using namespace almondcart;
using namespace almondcart::test_support;
using standins::upstream_mode;

namespace {

/// Gateway before two upstreams that answer by path, the first of which may say something of
/// itself.
struct statement_fixture : gateway_fixture
{
    statement_fixture()
    {
        start_serving();
        for (auto* upstream : {&first, &second})
            upstream->set_mode(upstream_mode::by_path);
    }

    /// Sends requests until the first upstream has answered one. Returns how many were sent.
    int send_until_first_answers(std::string const& path)
    {
        auto const before = first.request_heads().size();
        int n = 0;
        while (first.request_heads().size() == before)
            ask(path, path + std::to_string(++n));
        return n;
    }

    /// Requests of all kinds that reach the first upstream, of `count` each.
    std::size_t count_at_first(int count)
    {
        auto const before = first.request_heads().size();
        for (int n = 0; n < count; ++n)
        {
            for (auto const* path : {"/safe/x", "/unsafe/x", "/stream/x", "/resume/x"})
                cr_assert_eq(ask(path, path + std::to_string(n) + "-late").head.status, 200);
        }
        return first.request_heads().size() - before;
    }
};

} // namespace

// The registry still lists the upstream as ready, and the store cannot be reached. Guards against
// work for an upstream that said in a response that it leaves, on kept connections too.
Test(gateway_statements, an_upstream_that_says_it_leaves_gets_no_more_work)
{
    statement_fixture it;
    it.first.set_leaving(true);
    it.store.set_down(true);
    it.send_until_first_answers("/safe/x");
    cr_assert_eq(it.count_at_first(10), 0);
    it.store.set_down(false);
    it.add(it.first);
    it.wait_for_output("leaving=true");
    cr_assert_eq(it.count_at_first(10), 0);
}

// Guards against a stream that continues at an upstream that is leaving.
Test(gateway_statements, a_stream_does_not_continue_at_an_upstream_that_leaves)
{
    statement_fixture it;
    it.fill_retry_budget();
    it.first.set_leaving(true);
    it.send_until_first_answers("/safe/x");
    it.second.set_mode(upstream_mode::truncated_stream);
    auto const stream =
        it.send(it.listen, "POST", "/resume/x", gateway_fixture::client_headers("r-1"));
    it.run_until([&] { return stream->body.find("id: 3") != std::string::npos; });
    auto const before = it.first.request_heads().size();
    it.second.release();
    it.run_until([&] { return stream->end.has_value(); });
    cr_assert_not(stream->is_complete());
    cr_assert_eq(it.first.request_heads().size(), before);
}

// Guards against requests that wait when no upstream is left.
Test(gateway_statements, requests_are_refused_at_once_when_all_upstreams_leave)
{
    statement_fixture it;
    it.first.set_leaving(true);
    it.second.set_leaving(true);
    int sent = 0;
    it.run_until([&]
                 { return it.ask("/unsafe/x", "r-" + std::to_string(++sent)).head.status == 503; });
    auto const refused = it.ask("/unsafe/x", "last");
    cr_assert_eq(refused.head.status, 503);
    cr_assert_not(refused.header("Retry-After").empty());
    cr_assert_leq(sent, 3);
}

// Guards against requests that reach an upstream during the pause that it asked for, while another
// one serves them.
Test(gateway_statements, an_upstream_gets_no_request_during_its_pause)
{
    statement_fixture it;
    it.first.set_mode(upstream_mode::not_executed);
    it.first.set_retry_after("1.5");
    it.send_until_first_answers("/safe/x");
    auto const end = it.loop.now() + duration(1400);
    it.first.set_mode(upstream_mode::by_path);
    auto const before = it.first.request_heads().size();
    while (it.loop.now() < end)
        cr_assert_eq(it.ask("/unsafe/x", "r-1").head.status, 200);
    cr_assert_eq(it.first.request_heads().size(), before);
    it.send_until_first_answers("/safe/x");
}

// Guards against requests that wait, or come back too early or all at once, while all upstreams
// pause.
Test(gateway_statements, requests_are_refused_until_the_end_of_a_common_pause)
{
    statement_fixture it;
    it.first.set_retry_after("2");
    it.second.set_retry_after("3");
    for (auto* upstream : {&it.first, &it.second})
        upstream->set_mode(upstream_mode::not_executed);
    it.run_until(
        [&]
        {
            it.ask("/unsafe/x", "r-1");
            return it.output().find("all upstreams asked for a pause") != std::string::npos;
        });
    auto const count = [&]
    { return it.first.request_heads().size() + it.second.request_heads().size(); };
    auto const before = count();
    std::set<std::string> values;
    for (int n = 0; n < 20; ++n)
    {
        auto const refused = it.ask("/unsafe/x", "r-2");
        cr_assert_eq(refused.head.status, 503);
        auto const seconds = std::stod(refused.header("Retry-After"));
        cr_assert_gt(seconds, 1.0);
        cr_assert_lt(seconds, 3.0);
        values.insert(refused.header("Retry-After"));
    }
    cr_assert_eq(count(), before);
    cr_assert_gt(values.size(), 10);
}

// Guards against a process that ends, or an upstream that is left out for ever, by odd values.
Test(gateway_statements, odd_pauses_are_ignored)
{
    statement_fixture it;
    for (auto const* value :
         {"-5", "nan", "-inf", "soon", "0", "1e", "1;2", "Sat, 05 Dec 2026 08:00:00 GMT"})
    {
        it.first.set_retry_after(value);
        it.first.set_mode(upstream_mode::not_executed);
        it.send_until_first_answers("/safe/x");
        it.first.set_mode(upstream_mode::by_path);
        it.send_until_first_answers("/safe/x");
    }
    cr_assert_not(it.gateway->try_wait().has_value());
}
