#pragma once

#include <almondcart/core/buffer_budget.hpp>

#include <memory>

#include "agent_settings.hpp"
#include "call_table.hpp"
#include "upstream_client.hpp"

namespace almondcart {

/// Calls a model engine through chat completions, always as a stream with `max_tokens` set to the
/// cap. Each chunk becomes one output event. The last chunk contains the engine's usage.
class engine_client : public upstream_client
{
public:
    /// `settings` and `client` must outlive this object.
    engine_client(agent_settings const& settings, http_client& client);

    void start(std::uint64_t call, dispatch const& work, upstream_events events) override;
    void cancel(std::uint64_t call) override { calls_.cancel(call); }

private:
    agent_settings const& settings_;
    http_client& client_;
    std::shared_ptr<buffer_budget> buffers_;
    call_table calls_;
};

/// Creates the last chunk of a response that was truncated at the cap.
std::string create_length_chunk();

} // namespace almondcart
