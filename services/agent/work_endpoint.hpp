#pragma once

#include <almondcart/core/event_journal.hpp>
#include <almondcart/gate/work_gate.hpp>
#include <almondcart/http/http_server.hpp>

#include <memory>

namespace almondcart {

/// Serves `POST /work`. Each exchange is one reader of the gate.
class work_endpoint
{
public:
    /// Binds the route. `gate` and `journal` must outlive the server.
    work_endpoint(http_server& server, work_gate& gate, event_journal& journal);

private:
    void serve(std::shared_ptr<http_exchange> const& exchange);

    work_gate& gate_;
    event_journal& journal_;
};

} // namespace almondcart
