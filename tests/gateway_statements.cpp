#include <criterion/criterion.h>

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
