#pragma once

#include <string>
#include <utility>

#include "gateway_fixture.hpp"
#include "scripted_upstream.hpp"

namespace almondcart::test_support {

/// A gateway before one upstream whose responses are bytes of the test's choice.
struct scripted_fixture : gateway_fixture
{
    explicit scripted_fixture(scripted_upstream::script script, int timeout_ms = 2000)
        : upstream(loop, std::move(script))
    {
        route_timeout_ms = timeout_ms;
        configure(1, 1'000'000);
        store.put(
            "keyed.servers", "i-1", first.registry_entry("models", "ready", upstream.address()));
        wait_until_ready();
    }

    scripted_upstream upstream;
};

/// Beginning of the head of a signed success; further headers and the blank line follow.
inline std::string signed_head(std::string const& request_id)
{
    return "HTTP/1.1 200 OK\r\nX-Almondcart-Request-Id: " + request_id +
           "\r\nX-Almondcart-Response-Seal: seal\r\n";
}

} // namespace almondcart::test_support
