#include <almondcart/http/connection_limiter.hpp>
#include <almondcart/http/http_client.hpp>
#include <almondcart/http/http_server.hpp>

#include <criterion/criterion.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace almondcart;

namespace {

constexpr std::size_t megabyte = 1'000'000;

/// Account with connections that record by which limit they were closed.
struct account_fixture
{
    explicit account_fixture(connection_limits limits)
        : limiter(std::make_shared<connection_limiter>(limits, clock.function()))
    {}

    limited_connection& add(std::string const& address)
    {
        auto const index = connections.size();
        closed.emplace_back();
        connections.push_back(std::make_unique<limited_connection>(
            limiter,
            address,
            [this, index](connection_limit limit)
            {
                closed.at(index) = name_of(limit);
                connections.at(index).reset();
            }));
        return *connections.back();
    }

    limited_connection& read(std::string const& address, std::size_t bytes)
    {
        auto& it = add(address);
        it.update(connection_phase::reading, bytes);
        return it;
    }

    manual_clock clock;
    std::shared_ptr<connection_limiter> limiter;
    std::vector<std::unique_ptr<limited_connection>> connections;
    std::vector<std::string> closed;
};

} // namespace

// Guards against closing whoever came last, or whoever holds most, instead of those that stopped
// short of their end.
Test(connection_limiter, closes_those_that_hold_most_for_longest)
{
    account_fixture test({.bytes = 10 * megabyte, .connections = 10});
    test.read("10.0.0.1", 2 * megabyte);
    test.clock.advance(duration(5'000));
    test.read("10.0.0.2", 5 * megabyte);
    auto& last = test.read("10.0.0.3", 4 * megabyte);
    test.limiter->enforce(last);
    cr_assert_eq(test.closed.at(0), "bytes");
    cr_assert_eq(test.closed.at(1), "");
    cr_assert_eq(test.closed.at(2), "");
}

// Guards against one address that takes the room of all others, and against closing the others
// for it.
Test(connection_limiter, one_address_gets_no_more_than_its_share)
{
    account_fixture test({.bytes = 10 * megabyte, .connections = 10});
    test.read("10.0.0.2", megabyte);
    test.clock.advance(duration(60'000));
    test.read("10.0.0.1", 5 * megabyte);
    auto& last = test.read("10.0.0.1", 3 * megabyte);
    test.limiter->enforce(last);
    cr_assert_eq(test.closed.at(0), "");
    cr_assert_eq(test.closed.at(1), "address_bytes");
    cr_assert_eq(test.closed.at(2), "");
}

// Guards against a request that was received in full and is closed without an answer.
Test(connection_limiter, closes_no_connection_whose_request_is_handled)
{
    account_fixture test({.bytes = 2 * megabyte, .connections = 1});
    auto& first = test.add("10.0.0.1");
    first.update(connection_phase::handling, 5 * megabyte);
    test.clock.advance(duration(60'000));
    test.limiter->enforce(first);
    auto& second = test.add("10.0.0.1");
    test.limiter->enforce(second);
    cr_assert_eq(test.closed.at(0), "");
    cr_assert_eq(test.closed.at(1), "connections");
    cr_assert_not(test.limiter->allows_handling(1));
}

// Guards against a limit that a client inside the limits meets in calm on a small machine.
Test(connection_limiter, a_single_request_is_not_closed)
{
    account_fixture test({.bytes = megabyte, .connections = 10});
    auto& it = test.read("10.0.0.1", 8 * megabyte);
    test.limiter->enforce(it);
    cr_assert_eq(test.closed.at(0), "");
    cr_assert(test.limiter->allows_handling(8 * megabyte));
}

// Guards against ordinary requests that are refused because others hold all of the account.
Test(connection_limiter, small_requests_are_not_closed_for_what_large_ones_hold)
{
    account_fixture test({.bytes = 2 * megabyte, .connections = 10});
    auto& first = test.add("10.0.0.1");
    first.update(connection_phase::handling, 5 * megabyte);
    auto& second = test.read("10.0.0.1", limited_connection::guaranteed_bytes);
    test.limiter->enforce(second);
    cr_assert_eq(test.closed.at(0), "");
    cr_assert_eq(test.closed.at(1), "");
}

// Guards against a crowd of idle connections that keeps others out.
Test(connection_limiter, a_new_connection_replaces_the_one_that_is_idle_for_longest)
{
    account_fixture test({.bytes = 10 * megabyte, .connections = 2});
    test.add("10.0.0.1");
    test.clock.advance(duration(10));
    test.add("10.0.0.1");
    auto& last = test.add("10.0.0.2");
    test.limiter->enforce(last);
    cr_assert_eq(test.closed.at(0), "connections");
    cr_assert_eq(test.closed.at(1), "");
    cr_assert_eq(test.closed.at(2), "");
}

// Guards against a client that takes a long response slowly and is closed as if it took nothing.
Test(connection_limiter, a_response_that_is_being_taken_is_not_stalled)
{
    account_fixture test({.bytes = megabyte, .connections = 10});
    auto& slow = test.add("10.0.0.1");
    auto& silent = test.add("10.0.0.1");
    slow.update(connection_phase::answering, 1000);
    silent.update(connection_phase::answering, 1000);
    for (int i = 0; i < 5; ++i)
    {
        test.clock.advance(duration(10'000));
        slow.note_progress();
    }
    cr_assert_not(slow.is_stalled());
    cr_assert(silent.is_stalled());
}

// Guards against requests received in full that are handled beyond the limit, and against a refusal
// that does not say that the request has not run.
Test(connection_limiter, a_request_beyond_the_limit_is_refused_as_not_run)
{
    event_loop loop;
    http_client client(loop);
    auto const limiter = std::make_shared<connection_limiter>(
        connection_limits{.bytes = 8 * megabyte, .connections = 10}, system_clock_source::create());
    auto const server =
        *http_server::create(loop, {"127.0.0.1:0", std::size_t{8} * 1024 * 1024, limiter});
    std::vector<std::shared_ptr<http_exchange>> held;
    server->route(
        "POST", "/", [&held](std::shared_ptr<http_exchange> const& it) { held.push_back(it); });
    std::vector<http_call> calls;
    int status = 0;
    std::string body;
    bool has_retry_after = false;
    auto const send = [&]
    {
        http_request request;
        request.address = server->address();
        request.method = "POST";
        request.path = "/";
        request.body = std::string(megabyte, 'x');
        http_callbacks callbacks;
        callbacks.on_headers = [&](http_response_head const& head)
        {
            status = head.status;
            has_retry_after = find_header(head.headers, "retry-after").has_value();
        };
        callbacks.on_body = [&](std::string_view data) { body += data; };
        callbacks.on_done = [](absl::Status const&) {};
        calls.push_back(client.request(std::move(request), std::move(callbacks)));
    };
    send();
    loop.run_until([&] { return held.size() == 1; });
    send();
    loop.run_until([&] { return status != 0 && body.ends_with('}'); });
    cr_assert_eq(status, 503);
    cr_assert(has_retry_after);
    cr_assert_neq(body.find(R"("ran":"no")"), std::string::npos);
    cr_assert_eq(held.size(), 1);
}
