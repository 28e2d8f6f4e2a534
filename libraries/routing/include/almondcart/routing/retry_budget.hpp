#pragma once

#include <almondcart/core/clock.hpp>

namespace almondcart {

struct retry_budget_settings
{
    double retry_ratio = 0.1; ///< retries per first attempt
    /// Retries per second that are allowed at any traffic, so that a router with little traffic can
    /// retry.
    double min_retries_per_s = 0.2;
    double burst = 20; ///< maximum number of unused retries that accumulate
};

/// Failed attempt that is considered for a retry.
struct failed_attempt
{
    bool is_idempotent = false;
    bool has_first_byte = false; ///< part of the response has reached the client
};

/// Limits retries to a fraction of the traffic, so that failing upstreams do not multiply the load
/// on the others.
class retry_budget
{
public:
    explicit retry_budget(clock_function clock, retry_budget_settings settings = {});

    /// Counts the first attempt of a request.
    void count_request();

    /// Takes one retry from the budget. Returns false if the attempt must not be retried.
    bool try_retry(failed_attempt const& attempt);

    /// Retries that are available now.
    double available() const;

private:
    void refill();

    clock_function clock_;
    retry_budget_settings settings_;
    double available_;
    instant last_refill_;
};

} // namespace almondcart
