#include <almondcart/core/random_sequence.hpp>
#include <almondcart/forwarding/crash_quarantine.hpp>

#include <criterion/criterion.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

using namespace almondcart;
using namespace almondcart::forwarding;

namespace {

constexpr char const* service = "models";

request_feature content(std::uint64_t id)
{
    return {feature_kind::content, id};
}

request_feature part(std::uint64_t id)
{
    return {feature_kind::prompt_part, id};
}

/// A quarantine that learns of one crash a second.
struct quarantine_fixture
{
    void apply(std::vector<feature_list> requests)
    {
        crash_record record;
        record.vm = "vm-1";
        record.service = service;
        record.wall_time_ms = now_ms;
        record.crashed = upstream_process{"i-" + std::to_string(++crashes), 1};
        record.requests = std::move(requests);
        quarantine.apply(record);
        now_ms += 1000;
    }

    bool is_quarantined(request_feature const& feature)
    {
        return quarantine.find(service, {feature}).has_value();
    }

    std::int64_t now_ms = 1'700'000'000'000;
    int crashes = 0;
    crash_quarantine quarantine{
        {},
        {[this] { return now_ms; }, [](auto const&, auto const&, bool, std::size_t) {}}};
};

} // namespace

// A part that crashes upstreams stands twice in each prompt. Guards against a search for the cause
// that does not end, and against one that finds nothing.
Test(crash_quarantine_cycles, a_part_that_stands_twice_in_a_prompt_is_found, .timeout = 20)
{
    quarantine_fixture it;
    for (std::uint64_t n = 0; n < 4; ++n)
        it.apply({{part(1), part(66), part(2), part(66), content(n)}});
    it.quarantine.update();
    cr_assert_geq(it.quarantine.quarantined_count(), 1);
    cr_assert(it.quarantine.find(service, {part(1), part(66), part(2), part(66)}).has_value());
}

// Two parts stand in either order in requests that crash upstreams. Guards against a search for the
// cause that goes from one to the other without end.
Test(crash_quarantine_cycles, parts_that_stand_in_either_order_end_the_search, .timeout = 20)
{
    quarantine_fixture it;
    for (std::uint64_t n = 0; n < 3; ++n)
        it.apply({{part(1), part(66), part(67), content(n)}});
    for (std::uint64_t n = 3; n < 6; ++n)
        it.apply({{part(1), part(67), part(66), content(n)}});
    it.quarantine.update();
    cr_assert(it.is_quarantined(part(66)) || it.is_quarantined(part(67)));
    cr_assert_not(it.is_quarantined(part(1)));
}

// Reports of many crashes hold the same parts in all orders, with repeats, and fill the capacity.
// Guards against a search that takes so long that nothing else is served meanwhile.
Test(crash_quarantine_cycles, a_full_memory_of_mixed_parts_is_searched_in_time, .timeout = 60)
{
    constexpr int part_count = 200;
    constexpr int crash_count = 4000;
    constexpr int parts_per_request = 16;
    for (std::uint64_t seed = 1; seed <= 3; ++seed)
    {
        random_sequence random(seed);
        quarantine_fixture it;
        for (int n = 0; n < crash_count; ++n)
        {
            feature_list request;
            for (int i = 0; i < parts_per_request; ++i)
                request.push_back(part(random.next() % part_count));
            request.push_back(content(static_cast<std::uint64_t>(n)));
            it.apply({std::move(request)});
            // Crashes of the last ten minutes count.
            it.now_ms -= 900;
        }
        auto const start = std::chrono::steady_clock::now();
        it.quarantine.update();
        auto const time = std::chrono::steady_clock::now() - start;
        // One update may delay requests by no more than a good part of the shortest objective.
        constexpr std::chrono::milliseconds limit(500);
        cr_assert(
            time < limit, "%lld ms", static_cast<long long>(time / std::chrono::milliseconds(1)));
    }
}

// Three hundred causes crash three upstreams each. Guards against a search whose time grows with
// the product of causes and reports.
Test(crash_quarantine_cycles, many_causes_at_once_are_found_in_time, .timeout = 60)
{
    constexpr std::uint64_t cause_count = 300;
    quarantine_fixture it;
    for (std::uint64_t n = 0; n < 3 * cause_count; ++n)
    {
        it.apply({{part(1), part(100 + n % cause_count), content(n)}});
        it.now_ms -= 500;
    }
    auto const start = std::chrono::steady_clock::now();
    it.quarantine.update();
    auto const time = std::chrono::steady_clock::now() - start;
    constexpr std::chrono::milliseconds limit(500);
    cr_assert(time < limit, "%lld ms", static_cast<long long>(time / std::chrono::milliseconds(1)));
    cr_assert_geq(it.quarantine.quarantined_count(), 1);
}
