#pragma once

#include <almondcart/http/http_server.hpp>

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <memory>
#include <string>

namespace almondcart {

/// Metrics of a process in the Prometheus text format. Returned references stay valid as long as
/// this object; requesting the same name and labels again returns the same metric.
class metrics
{
public:
    metrics();

    prometheus::Counter& counter(
        std::string const& name,
        std::string const& help,
        prometheus::Labels const& labels = {});
    prometheus::Gauge&
    gauge(std::string const& name, std::string const& help, prometheus::Labels const& labels = {});

    /// `bounds` are the upper bounds of the buckets in ascending order.
    prometheus::Histogram& histogram(
        std::string const& name,
        std::string const& help,
        prometheus::Histogram::BucketBoundaries const& bounds,
        prometheus::Labels const& labels = {});

    /// Adds what clients hold and which of their limits were met.
    void watch(std::shared_ptr<connection_limiter> limiter);

    std::string to_text() const;

    /// Serves `GET /metrics`. This object must outlive the server.
    void serve(http_server& server) const;

private:
    std::shared_ptr<prometheus::Registry> registry_;
    std::shared_ptr<connection_limiter> limiter_;
    prometheus::Gauge* connections_ = nullptr;
    prometheus::Gauge* held_bytes_ = nullptr;
};

} // namespace almondcart
