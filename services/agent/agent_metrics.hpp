#pragma once

#include <almondcart/gate/work_gate.hpp>
#include <almondcart/http/metrics.hpp>

namespace almondcart {

/// Exports the state of the gate as gauges.
class agent_metrics
{
public:
    /// The references must outlive this object.
    agent_metrics(metrics& registry, work_gate const& gate, upstream_crash_monitor const& monitor);

    /// Updates all gauges. Call once a second.
    void update();

private:
    void set(char const* name, char const* help, double value);

    metrics& registry_;
    work_gate const& gate_;
    upstream_crash_monitor const& monitor_;
};

} // namespace almondcart
