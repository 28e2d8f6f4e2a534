#include "client_limits.hpp"

#include <criterion/criterion.h>

using namespace almondcart;

namespace {

client_limits limits_of(double memory_mb, std::size_t max_descriptors)
{
    gateway_settings settings;
    settings.memory_mb = memory_mb;
    settings.max_descriptors = max_descriptors;
    return client_limits::of(settings);
}

} // namespace

// Guards against parts of the account that are together more than the memory or the descriptors,
// and against a machine on which the largest legal body is never served.
Test(client_limits, parts_stay_within_the_smallest_and_the_largest_machine)
{
    struct machine
    {
        double memory_mb;
        std::size_t descriptors;
    };
    for (auto const it : {machine{88, 2870}, machine{110, 2870}, machine{512, 8192}})
    {
        auto const limits = limits_of(it.memory_mb, it.descriptors);
        constexpr double connection_bytes = 12 * 1024;
        auto const counted = static_cast<double>(limits.buffer_bytes + limits.overrun_bytes) +
                             static_cast<double>(limits.connections) * connection_bytes;
        cr_assert_leq(counted, it.memory_mb * 1e6 / 2);
        cr_assert_leq(limits.streams + 200, it.descriptors);
        cr_assert_lt(limits.connections, limits.streams);
        cr_assert_geq(limits.connections, 1000);
        cr_assert_gt(limits.buffer_bytes / 3, std::size_t{4} * 1024 * 1024 + 64 * 1024);
    }
}

// Guards against limits of zero, with which nobody is served, if settings are missing or small.
Test(client_limits, small_or_unknown_machines_serve_clients)
{
    cr_assert_gt(limits_of(0, 0).connections, 0);
    cr_assert_gt(limits_of(0, 100).connections, 0);
    cr_assert_gt(limits_of(16, 250).connections, 0);
}
