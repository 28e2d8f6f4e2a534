#include "agent_metrics.hpp"

namespace almondcart {

agent_metrics::agent_metrics(
    metrics& registry,
    work_gate const& gate,
    upstream_crash_monitor const& monitor)
    : registry_(registry)
    , gate_(gate)
    , monitor_(monitor)
{}

void agent_metrics::update()
{
    auto const& counts = gate_.counts();
    set("almondcart_agent_running", "Requests that run.", gate_.running());
    set("almondcart_agent_free_slots", "Requests that may start.", gate_.free_slots());
    set("almondcart_agent_unacknowledged_usage",
        "Usage items that no router has acknowledged.",
        static_cast<double>(gate_.unacknowledged()));
    set("almondcart_agent_output_bytes",
        "Output that is kept for readers.",
        static_cast<double>(gate_.kept_output_bytes()));
    set("almondcart_agent_started", "Requests started.", static_cast<double>(counts.started));
    set("almondcart_agent_attached", "Readers attached.", static_cast<double>(counts.attached));
    set("almondcart_agent_refused", "Dispatches refused.", static_cast<double>(counts.refused));
    set("almondcart_agent_cut", "Answers cut at the cap.", static_cast<double>(counts.cut));
    set("almondcart_agent_failed", "Calls failed.", static_cast<double>(counts.failed));
    set("almondcart_agent_cancelled", "Calls cancelled.", static_cast<double>(counts.cancelled));
    set("almondcart_agent_billed_tokens",
        "Tokens billed.",
        static_cast<double>(counts.billed_tokens));
    set("almondcart_agent_upstream_crashes",
        "Crashes of the upstream.",
        static_cast<double>(monitor_.crash_count()));
}

void agent_metrics::set(char const* name, char const* help, double value)
{
    registry_.gauge(name, help).Set(value);
}

} // namespace almondcart
