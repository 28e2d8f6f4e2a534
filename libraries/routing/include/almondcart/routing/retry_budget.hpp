#pragma once

#include <almondcart/core/clock.hpp>

namespace almondcart {

struct retry_budget_settings
{
    double share = 0.1; ///< retries per first attempt
    /// Retries per second that are allowed whatever the traffic, so that a quiet router can retry.
    double floor_per_s = 0.2;
    double burst = 20; ///< unused retries that are kept
};

/// Attempt that failed and might be repeated.
struct failed_attempt
{
    bool is_idempotent = false;
    bool has_first_byte = false; ///< part of the answer has reached the caller
};

/// Limits retries to a share of the traffic, so that failing upstreams do not multiply the load on
/// the others.
class retry_budget
{
public:
    explicit retry_budget(clock_function clock, retry_budget_settings settings = {});

    /// Counts the first attempt of a request.
    void count_request();

    /// Takes one retry from the budget. Returns false if the attempt must not be repeated.
    bool try_retry(failed_attempt const& attempt);

    /// Retries that could be taken now.
    double available() const;

private:
    void refill();

    clock_function clock_;
    retry_budget_settings settings_;
    double available_;
    instant refilled_;
};

} // namespace almondcart
