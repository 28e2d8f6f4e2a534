#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/core/identifiers.hpp>

#include <cstddef>
#include <deque>
#include <map>

namespace almondcart {

/// Attempts that were refused or fenced before they started and must never start here.
class attempt_fences
{
public:
    struct limits
    {
        /// Retention of fences of idempotent work.
        duration retention{600'000};
        /// Retention of fences of non-idempotent work; not below the request key window, after
        /// which a key names a new request.
        duration non_idempotent_retention{86'400'000};
        /// Fences of idempotent work that are kept at most.
        std::size_t idempotent_limit = 50'000;
    };

    attempt_fences(clock_function now, limits limits);

    /// Fences attempts 1 to `attempt` of the request.
    void add(request_id const& request, int attempt, bool is_idempotent);

    /// Highest fenced attempt, 0 if none.
    int highest(request_id const& request) const;

    void tick();

    std::size_t size() const { return fences_.size(); }

private:
    struct fence
    {
        int attempt = 0;
        bool is_idempotent = true;
        instant at;
    };

    struct queued
    {
        request_id request;
        instant at;
    };

    void drop_front(std::deque<queued>& queue);
    void expire(std::deque<queued>& queue, duration retention);

    clock_function now_;
    limits limits_;
    std::map<request_id, fence> fences_;
    std::deque<queued> idempotent_order_;
    std::deque<queued> non_idempotent_order_;
};

} // namespace almondcart
