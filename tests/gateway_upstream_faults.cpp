#include <criterion/criterion.h>

#include <string>

#include "support/gateway_fixture.hpp"

using namespace almondcart;
using namespace almondcart::test_support;

// Another writer leaves odd entries among those of the upstreams, in the snapshot and later. Guards
// against a gateway that ends, or stops following the registry.
Test(gateway_upstream_faults, odd_registry_entries_stop_no_gateway)
{
    gateway_fixture it;
    std::string const odd[] = {
        std::string(100'000, '['),
        R"({"a":)" + std::string(5000, '{'),
        R"({"backend":"models","address":"127.0.0.1:99999","zone":"a","state":"ready"})",
        R"({"backend":"models","address":"127.0.0.1:0","zone":"a","state":"ready"})",
        R"({"backend":"models","address":"127.0.0.1:9","zone":"a","state":"ready","slots":1e400})",
        R"({"backend":"models","address":"127.0.0.1:9","zone":"a","state":"ready",)"
        R"("slots":9999999999})",
        "\xff\xfe\x00"};
    auto const put_all = [&](std::string const& prefix)
    {
        for (auto const& value : odd)
            it.store.put("keyed.servers", prefix + std::to_string(value.size()), value);
    };
    put_all("before-");
    it.start_serving();
    put_all("after-");
    it.add(it.first, "draining");
    auto const is_applied = [&]
    {
        auto const before = it.first.request_heads().size();
        for (int n = 0; n < 10; ++n)
            cr_assert_eq(it.ask("/unsafe/x", "r-" + std::to_string(n)).head.status, 200);
        return it.first.request_heads().size() == before;
    };
    it.run_until(is_applied);
    cr_assert_not(it.gateway->try_wait().has_value());
}
