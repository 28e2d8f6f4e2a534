#pragma once

#include <almondcart/core/instant.hpp>

#include <cstddef>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace almondcart::soak {

/// Checks that gateways keep to what upstreams say of themselves: one that leaves gets no more
/// requests, one that asked for a pause gets none before its end.
///
/// A statement counts from the moment at which a client has seen that the gateway received it. A
/// restart or pause of the gateway ends all statements to it.
class statement_checker
{
public:
    /// A client sent a request to a gateway.
    void record_request(std::string const& id, std::size_t gateway, instant now);

    /// An upstream turned a request away and asked for a pause.
    void record_pause(std::string const& upstream, std::string const& id, instant end);

    /// A client received a response. `leaving` is the upstream that says in it that it leaves, or
    /// empty.
    void
    record_response(std::string const& id, int status, std::string const& leaving, instant now);

    /// A request reached an upstream. Returns a violation, or an empty text.
    std::string record_arrival(std::string const& upstream, std::string const& id, instant now);

    void forget_gateway(std::size_t gateway);

    /// A new process of the upstream has started, which has said nothing yet.
    void forget_upstream(std::string const& upstream);

private:
    /// From a gateway's index to an upstream.
    using path = std::pair<std::size_t, std::string>;

    struct request
    {
        std::size_t gateway = 0;
        instant sent{};
    };

    struct asked_pause
    {
        std::string upstream;
        instant end{};
    };

    struct pause
    {
        instant begin{};
        instant end{};
        int arrivals = 0;
    };

    std::map<std::string, request> requests_;
    std::map<std::string, std::vector<asked_pause>> asked_; ///< by id of the refused request
    std::map<path, instant> leaving_;
    std::map<path, std::vector<pause>> pauses_;
};

} // namespace almondcart::soak
