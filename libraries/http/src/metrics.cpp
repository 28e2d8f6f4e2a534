#include <almondcart/http/metrics.hpp>

#include <prometheus/text_serializer.h>

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

std::string metrics::to_text() const
{
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
