#include "gateway_context.hpp"

namespace almondcart {

namespace {

/// Retries per second that a quiet router may make, and unused ones that are kept. Both are small,
/// because all routers together share the allowance of a service.
constexpr double retry_floor_per_s = 0.3;
constexpr double retry_burst = 4;

/// Kept back from the time until the platform kills a process that is to stop.
constexpr duration exit_margin{400};

} // namespace

retry_budget& gateway_context::retries_of(std::string const& service)
{
    auto const it = retries.find(service);
    if (it != retries.end())
        return it->second;
    retry_budget_settings const limits{settings.retry_share, retry_floor_per_s, retry_burst};
    return retries.emplace(service, retry_budget([this] { return loop.now(); }, limits))
        .first->second;
}

instant gateway_context::stop_deadline() const
{
    return stop_began + settings.shutdown_grace - exit_margin;
}

bool gateway_context::is_too_late_for(duration limit) const
{
    auto const now = loop.now();
    return is_stopping && now - stop_began >= drain_time && now + limit > stop_deadline();
}

} // namespace almondcart
