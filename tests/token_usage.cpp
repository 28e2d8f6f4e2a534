#include "token_usage.hpp"

#include <criterion/criterion.h>

using namespace almondcart;

namespace {

token_usage read_day()
{
    token_usage it;
    for (auto const* line :
         {"2026-12-04T10:00:00.000 info entry-1 [config] version=3 account=club prepaid=1000 "
          "claimed=0",
          "2026-12-04T10:00:00.100 info entry-1 [config] version=4 account=club prepaid=2000 "
          "claimed=9",
          "2026-12-04T10:00:01.000 info entry-1 [forward] request=r-1 outcome=served status=200 "
          "route=a account=club configuration=3 upstream=i-1 attempts=1 events=2 tokens=600",
          "2026-12-04T10:00:02.000 info entry-1 [forward] request=r-2 outcome=upstream_lost "
          "status=502 "
          "route=a account=club configuration=3 upstream=i-1 attempts=1 events=0 tokens=100",
          "2026-12-04T10:00:03.000 info entry-2 [prepaid] account=club took over from predecessor: "
          "given_up=30 written_off=50",
          "2026-12-04T10:00:04.000 info entry-1 [prepaid] account=club needed=9 wanted=70 gives=70 "
          "left=5",
          "2026-12-04T10:00:04.010 info entry-2 [prepaid] account=club asked=10.0.0.1:9 needed=9 "
          "received=60 error=-",
          "2026-12-04T10:00:05.000 info entry-2 [forward] request=r-3 outcome=budget_exhausted "
          "status=402 route=a account=club configuration=3 upstream=- attempts=0 events=0 tokens=0",
          "2026-12-04T10:00:05.000 info entry-2 [forward] request=r-4 outcome=served status=200 "
          "route=b account=- configuration=3 upstream=i-9 attempts=1 events=0 tokens=0",
          "2026-12-04T10:00:06.000 info entry-2 [upstreams] upstream=i-1 account=odd gives=1",
          "not a log line account="})
        it.add_line(line);
    return it;
}

} // namespace

// Guards against a report that counts a token twice or hides one that nobody can spend.
Test(token_usage, each_token_of_a_total_is_in_one_sum)
{
    auto const usage = read_day();
    cr_assert_eq(usage.accounts().size(), 1);
    auto const& it = usage.accounts().at("club");
    cr_assert_eq(it.total, 2'000);
    cr_assert_eq(it.served, 600);
    cr_assert_eq(it.failed, 100);
    cr_assert_eq(it.written_off, 50);
    cr_assert_eq(it.lost_in_transfers(), 10);
    cr_assert_eq(it.exhausted, 1);
    cr_assert_eq(it.unavailable, 0);
    cr_assert_eq(it.rest(), 1'240);
}

Test(token_usage, prints_shares_of_the_total)
{
    auto const text = read_day().to_text();
    cr_assert_neq(text.find("club"), std::string::npos);
    cr_assert_neq(text.find("0.300"), std::string::npos);
    cr_assert_neq(text.find("0.025"), std::string::npos);
}
