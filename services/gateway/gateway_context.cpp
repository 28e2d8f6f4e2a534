#include "gateway_context.hpp"

namespace almondcart {

namespace {

/// Retries per second that a gateway may make regardless of its load, and the number of unused ones
/// that it may save. Both are small, because all gateways together load the same service.
constexpr double min_retries_per_s = 0.3;
constexpr double max_saved_retries = 4;

/// Safety margin before the platform kills a stopping process.
constexpr duration exit_margin{400};

} // namespace

retry_budget& gateway_context::retry_budget_of(std::string const& service)
{
    auto const it = retry_budgets.find(service);
    if (it != retry_budgets.end())
        return it->second;
    retry_budget_settings const limits{settings.retry_share, min_retries_per_s, max_saved_retries};
    return retry_budgets.emplace(service, retry_budget([this] { return loop.now(); }, limits))
        .first->second;
}

instant gateway_context::stop_deadline() const
{
    return stop_time + settings.shutdown_grace - exit_margin;
}

bool gateway_context::would_outlast_shutdown(duration limit) const
{
    auto const now = loop.now();
    return is_stopping && now - stop_time >= drain_time && now + limit > stop_deadline();
}

} // namespace almondcart
