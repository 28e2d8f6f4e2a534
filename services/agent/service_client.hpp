#pragma once

#include <almondcart/core/buffer_budget.hpp>

#include <memory>

#include "agent_settings.hpp"
#include "call_table.hpp"
#include "upstream_client.hpp"

namespace almondcart {

/// Calls a plain service. Method, path, body and request key are passed through.
class service_client : public upstream_client
{
public:
    /// `settings` and `client` must outlive this object.
    service_client(agent_settings const& settings, http_client& client);

    void start(std::uint64_t call, dispatch const& work, upstream_events events) override;
    void cancel(std::uint64_t call) override { calls_.cancel(call); }

private:
    agent_settings const& settings_;
    http_client& client_;
    std::shared_ptr<buffer_budget> buffers_;
    call_table calls_;
};

} // namespace almondcart
