#include <criterion/criterion.h>

#include <string>

#include "soak/invariant_checker.hpp"
#include "soak/statement_checker.hpp"

using namespace almondcart;
using namespace almondcart::soak;

namespace {

call create_call(std::string const& id, work_kind kind, int status, std::string const& body)
{
    call it;
    it.id = id;
    it.kind = kind;
    it.end = http1::exchange_outcome::complete;
    it.head.status = status;
    it.head.headers = {{"X-Almondcart-Response-Seal", "seal-i-1"}, {"Retry-After", "1"}};
    it.body = body;
    return it;
}

std::string events(int last)
{
    std::string text;
    for (int id = 1; id <= last; ++id)
        text += "id: " + std::to_string(id) + "\ndata: word\n\n";
    return text;
}

/// Number of violations that `runs` runs of a request and its response cause.
std::size_t count_violations(call const& it, int runs, std::int64_t total = 1'000'000)
{
    invariant_checker checker;
    checker.set_total_tokens(total);
    checker.record_request(it);
    for (int n = 0; n < runs; ++n)
        checker.record_run("i-1", it.id);
    checker.record_response(it);
    return checker.violations().size();
}

} // namespace

// Guards against a soak that passes because its checker does not detect violations.
Test(soak_checks, detects_each_violation)
{
    cr_assert_eq(count_violations(create_call("a", work_kind::safe, 200, "answer of i-1"), 2), 0);
    cr_assert_eq(count_violations(create_call("a", work_kind::safe, 200, "answer of i-1"), 3), 1);
    cr_assert_eq(count_violations(create_call("a", work_kind::safe, 200, "answer of i-2"), 1), 1);
    cr_assert_eq(count_violations(create_call("a", work_kind::unsafe, 200, "answer of i-1"), 2), 1);
    cr_assert_eq(count_violations(create_call("a", work_kind::unsafe, 503, ""), 0), 0);
    cr_assert_eq(count_violations(create_call("a", work_kind::unsafe, 503, ""), 1), 1);
    cr_assert_eq(count_violations(create_call("a", work_kind::stream, 200, events(6)), 1), 0);
    cr_assert_eq(count_violations(create_call("a", work_kind::stream, 200, events(5)), 1), 1);
    cr_assert_eq(
        count_violations(create_call("a", work_kind::stream, 200, events(3) + events(3)), 1), 1);
    auto const broken_off = [](call it)
    {
        it.end = http1::exchange_outcome::broken_off;
        return it;
    };
    cr_assert_eq(
        count_violations(
            broken_off(create_call("a", work_kind::stream, 200, events(3) + "id: 4")), 1),
        0);
    auto misdirected = create_call("a", work_kind::safe, 200, "answer of i-1");
    misdirected.head.headers.emplace_back("X-Almondcart-Request-Id", "b");
    cr_assert_eq(count_violations(misdirected, 1), 1);
    auto unsealed = create_call("a", work_kind::safe, 200, "answer of i-1");
    unsealed.head.headers.clear();
    cr_assert_eq(count_violations(unsealed, 1), 1);
}

// Guards against a soak that does not count the used tokens.
Test(soak_checks, detects_tokens_used_beyond_the_total)
{
    auto sized = create_call("a", work_kind::stream, 200, events(6));
    sized.input_tokens = 500;
    cr_assert_eq(count_violations(sized, 1, 524), 0);
    cr_assert_eq(count_violations(sized, 1, 523), 1);
}

// Guards against a soak that does not detect a run after the request was refused, or a run of a
// request that no client sent.
Test(soak_checks, detects_runs_that_must_not_happen)
{
    invariant_checker checker;
    auto const refused = create_call("a", work_kind::safe, 503, "");
    checker.record_request(refused);
    checker.record_response(refused);
    checker.record_run("i-1", "a");
    checker.record_run("i-1", "b");
    cr_assert_eq(checker.violations().size(), 2);
}

// Guards against a soak that does not notice work for an upstream that said that it leaves.
Test(soak_checks, detects_requests_to_an_upstream_that_leaves)
{
    instant const start{duration(10'000)};
    auto const violation = [&](duration sent_after, bool is_restarted)
    {
        statement_checker checker;
        checker.record_request("a", 0, start);
        checker.record_response("a", 200, "i-1", start);
        if (is_restarted)
            checker.forget_gateway(0);
        checker.record_request("b", 0, start + sent_after);
        return checker.record_arrival("i-1", "b", start + sent_after);
    };
    cr_assert_not(violation(duration(2001), false).empty());
    cr_assert(violation(duration(2000), false).empty());
    cr_assert(violation(duration(2001), true).empty());
}

// Guards against a soak that does not notice requests in a pause.
Test(soak_checks, detects_requests_in_a_pause)
{
    instant const start{duration(10'000)};
    auto const count = [&](int status, duration from, std::size_t gateway)
    {
        statement_checker checker;
        checker.record_request("a", 0, start);
        checker.record_pause("i-1", "a", start + duration(2000));
        checker.record_response("a", status, {}, start);
        int violations = 0;
        for (int n = 0; n < 5; ++n)
        {
            auto const id = "b" + std::to_string(n);
            checker.record_request(id, gateway, start + from);
            violations += checker.record_arrival("i-1", id, start + from).empty() ? 0 : 1;
        }
        return violations;
    };
    cr_assert_eq(count(503, duration(500), 0), 3);
    cr_assert_eq(count(503, duration(499), 0), 0);
    cr_assert_eq(count(503, duration(2000), 0), 0);
    cr_assert_eq(count(503, duration(500), 1), 0);
    cr_assert_eq(count(502, duration(500), 0), 0);
}
