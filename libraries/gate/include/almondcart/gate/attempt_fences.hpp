#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/core/identifiers.hpp>

#include <cstddef>
#include <deque>
#include <map>

namespace almondcart {

/// Attempts that must never start here, because they were refused or fenced before they started.
class attempt_fences
{
public:
    struct limits
    {
        /// Retention of fences of idempotent work.
        duration retention{600'000};
        /// Retention of fences of non-idempotent work. Must not be shorter than the request key
        /// window, after which a key identifies a new request.
        duration non_idempotent_retention{86'400'000};
        /// Maximum number of fences of idempotent work.
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
        instant fenced_at;
    };

    struct expiry_entry
    {
        request_id request;
        instant fenced_at;
    };

    void drop_front(std::deque<expiry_entry>& queue);
    void expire(std::deque<expiry_entry>& queue, duration retention);

    clock_function now_;
    limits limits_;
    std::map<request_id, fence> fences_;
    std::deque<expiry_entry> idempotent_order_;
    std::deque<expiry_entry> non_idempotent_order_;
};

} // namespace almondcart
