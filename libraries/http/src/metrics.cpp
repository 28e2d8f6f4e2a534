#include <almondcart/http/metrics.hpp>

#include <prometheus/text_serializer.h>

#include <array>
#include <utility>

namespace almondcart {

metrics::metrics()
    : registry_(std::make_shared<prometheus::Registry>())
{}

prometheus::Counter&
metrics::counter(std::string const& name, std::string const& help, prometheus::Labels const& labels)
{
    return prometheus::BuildCounter().Name(name).Help(help).Register(*registry_).Add(labels);
}

prometheus::Gauge&
metrics::gauge(std::string const& name, std::string const& help, prometheus::Labels const& labels)
{
    return prometheus::BuildGauge().Name(name).Help(help).Register(*registry_).Add(labels);
}

prometheus::Histogram& metrics::histogram(
    std::string const& name,
    std::string const& help,
    prometheus::Histogram::BucketBoundaries const& bounds,
    prometheus::Labels const& labels)
{
    return prometheus::BuildHistogram()
        .Name(name)
        .Help(help)
        .Register(*registry_)
        .Add(labels, bounds);
}

void metrics::watch(std::shared_ptr<connection_limiter> limiter)
{
    limiter_ = std::move(limiter);
    connections_ = &gauge("almondcart_client_connections", "Open connections of clients");
    held_bytes_ = &gauge("almondcart_client_bytes", "Bytes that connections of clients hold");
    std::array<prometheus::Counter*, connection_limit_count> counters{};
    for (std::size_t i = 0; i < counters.size(); ++i)
        counters.at(i) = &counter(
            "almondcart_clients_limited_total",
            "Connections closed and requests refused by the limit that was met",
            {{"limit", std::string(name_of(static_cast<connection_limit>(i)))}});
    // The registry is kept, because servers may close connections after this object's end.
    limiter_->set_hooks(
        {.on_limited = [registry = registry_, counters](connection_limit limit, std::string const&)
         { counters.at(static_cast<std::size_t>(limit))->Increment(); }});
}

std::string metrics::to_text() const
{
    if (limiter_ != nullptr)
    {
        connections_->Set(static_cast<double>(limiter_->connection_count()));
        held_bytes_->Set(static_cast<double>(limiter_->used_bytes()));
    }
    return prometheus::TextSerializer().Serialize(registry_->Collect());
}

void metrics::serve(http_server& server) const
{
    server.route(
        "GET",
        "/metrics",
        [this](std::shared_ptr<http_exchange> const& exchange)
        { exchange->respond_text(200, "text/plain; version=0.0.4", to_text()); });
}

} // namespace almondcart
