#include <criterion/criterion.h>

#include "soak/invariant_checker.hpp"

using namespace almondcart;
using namespace almondcart::soak;

namespace {

call answered(std::string const& id, work_kind kind, int status, std::string const& body)
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

/// Number of promises that the soak sees broken by `runs` runs of a request and its answer.
std::size_t broken_by(call const& it, int runs, std::int64_t total = 1'000'000)
{
    invariant_checker checks;
    checks.set_total(total);
    checks.note_sent(it);
    for (int n = 0; n < runs; ++n)
        checks.note_run("i-1", it.id);
    checks.note_end(it);
    return checks.broken().size();
}

} // namespace

// Guards against a soak that passes because it looks at nothing.
Test(soak_checks, sees_each_broken_promise)
{
    cr_assert_eq(broken_by(answered("a", work_kind::safe, 200, "answer of i-1"), 2), 0);
    cr_assert_eq(broken_by(answered("a", work_kind::safe, 200, "answer of i-1"), 3), 1);
    cr_assert_eq(broken_by(answered("a", work_kind::safe, 200, "answer of i-2"), 1), 1);
    cr_assert_eq(broken_by(answered("a", work_kind::unsafe, 200, "answer of i-1"), 2), 1);
    cr_assert_eq(broken_by(answered("a", work_kind::unsafe, 503, ""), 0), 0);
    cr_assert_eq(broken_by(answered("a", work_kind::unsafe, 503, ""), 1), 1);
    cr_assert_eq(broken_by(answered("a", work_kind::stream, 200, events(6)), 1), 0);
    cr_assert_eq(broken_by(answered("a", work_kind::stream, 200, events(5)), 1), 1);
    cr_assert_eq(broken_by(answered("a", work_kind::stream, 200, events(3) + events(3)), 1), 1);
    auto const cut = [](call it)
    {
        it.end = http1::exchange_outcome::broken_off;
        return it;
    };
    cr_assert_eq(broken_by(cut(answered("a", work_kind::stream, 200, events(3) + "id: 4")), 1), 0);
    auto foreign = answered("a", work_kind::safe, 200, "answer of i-1");
    foreign.head.headers.emplace_back("X-Almondcart-Request-Id", "b");
    cr_assert_eq(broken_by(foreign, 1), 1);
    auto unsigned_answer = answered("a", work_kind::safe, 200, "answer of i-1");
    unsigned_answer.head.headers.clear();
    cr_assert_eq(broken_by(unsigned_answer, 1), 1);
}

// Guards against tokens that the soak does not count.
Test(soak_checks, sees_tokens_used_beyond_the_total)
{
    auto sized = answered("a", work_kind::stream, 200, events(6));
    sized.input_tokens = 500;
    cr_assert_eq(broken_by(sized, 1, 524), 0);
    cr_assert_eq(broken_by(sized, 1, 523), 1);
}

// Guards against a request that runs after its caller was told that it will not, or that nobody
// sent.
Test(soak_checks, sees_runs_that_must_not_be)
{
    invariant_checker checks;
    auto const refused = answered("a", work_kind::safe, 503, "");
    checks.note_sent(refused);
    checks.note_end(refused);
    checks.note_run("i-1", "a");
    checks.note_run("i-1", "b");
    cr_assert_eq(checks.broken().size(), 2);
}
