#pragma once

#include <almondcart/core/status.hpp>
#include <almondcart/document/service_document.hpp>
#include <almondcart/routing/admission_queue.hpp>
#include <almondcart/routing/membership.hpp>
#include <almondcart/routing/upstream_selector.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace almondcart {

/// One pool of a service as used by this router: the upstream selector and the admission queue in
/// front of it.
class upstream_pool
{
public:
    struct waiter
    {
        std::function<void()> dispatch;             ///< the request has a slot
        std::function<void(refusal const&)> refuse; ///< the request did not run
    };

    upstream_pool(clock_function clock, membership const& members);

    /// Sets the pool's upstreams from the document in force.
    void configure(pool_definition const& definition);

    /// Queues a request and later calls one of `hooks`, or refuses it immediately. Returns a ticket
    /// that `finished` or `cancel` releases.
    std::uint64_t enqueue(admission_entry entry, waiter hooks);

    void first_byte(std::uint64_t ticket) { queue_.first_byte(ticket); }
    void finished(std::uint64_t ticket, bool is_measured);
    void cancel(std::uint64_t ticket);

    upstream_selector& selector() { return selector_; }
    admission_queue const& queue() const { return queue_; }

    /// Adapts the concurrency limit to the usable slots and dispatches the requests that get one.
    void tick(int live_routers);

private:
    admission_hooks create_hooks();

    upstream_selector selector_;
    admission_queue queue_;
    std::map<std::uint64_t, waiter> waiters_;
    std::uint64_t next_ticket_ = 1;
};

/// Pools of all services in the documents in force.
class upstream_pools
{
public:
    upstream_pools(clock_function clock, membership const& members);

    void configure(service_document const& document);
    upstream_pool* find(std::string const& service, std::string const& pool);

    /// Returns the pool that contains the upstream, or null.
    upstream_pool* find_by_upstream(std::string const& upstream);

    void tick(int live_routers);

    std::map<std::string, std::unique_ptr<upstream_pool>> const& pools() const { return pools_; }

private:
    clock_function clock_;
    membership const& members_;
    std::map<std::string, std::unique_ptr<upstream_pool>> pools_; ///< by "service/pool"
    std::map<std::string, upstream_pool*> by_upstream_;
};

} // namespace almondcart
