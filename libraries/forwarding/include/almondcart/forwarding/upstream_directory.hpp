#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/forwarding/upstream_process.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondcart::forwarding {

/// Entry of one upstream in the platform's registry.
struct upstream_entry
{
    std::string id; ///< identifies one instance; a reused id has a different `started_ms`
    std::string service;
    std::string address; ///< "ip:port"
    std::string availability_zone;
    int slots = 1;
    bool is_draining = false;
    std::int64_t started_ms = 0; ///< Unix time

    /// How much longer the upstream stays cold, as of the entry, if the entry says so.
    std::optional<duration> cold_left{};

    bool operator==(upstream_entry const&) const = default;
};

/// What a process of an upstream has said of itself in responses to this gateway. The registry may
/// say otherwise, because it is behind or cannot be reached.
struct upstream_statement
{
    bool is_leaving = false; ///< wants no more requests
    instant paused_until{};  ///< wants no requests before
};

/// Upstream known to this gateway.
struct upstream
{
    upstream_entry entry;
    bool is_gone = false; ///< deregistered; kept alive by requests in progress
    upstream_statement statement;
    instant cold_until{}; ///< according to the entry

    /// When the last entry arrived that is known to be recent.
    std::optional<instant> entry_received;

    bool accepts_work() const { return !is_gone && !entry.is_draining && !statement.is_leaving; }

    bool is_paused(instant now) const { return now < statement.paused_until; }

    upstream_process process() const { return {entry.id, entry.started_ms}; }
};

using upstream_pointer = std::shared_ptr<upstream>;

/// Index of the registered upstreams by service and id.
class upstream_directory
{
public:
    /// `on_change` is called for each upstream that was added, changed or removed. How long an
    /// upstream stays cold changes with each entry and does not count. Without a clock, this is not
    /// kept.
    explicit upstream_directory(
        std::function<void(upstream const&)> on_change = {},
        clock_function clock = {});

    /// Applies one registry entry, or removes the upstream if there is none. A new instance under a
    /// reused id replaces the upstream.
    void apply(std::string const& id, std::optional<upstream_entry> entry);

    /// Applies a snapshot of the registry and removes upstreams that it does not contain.
    void replace_all(std::map<std::string, upstream_entry> const& entries);

    /// The upstream said in a response that it is leaving. This holds for its process, also if the
    /// registry still lists it as ready, or removes it and lists it again.
    void record_leaving(upstream_pointer const& target);

    /// The upstream asked in a response for no requests before `end`. A shorter pause does not end
    /// a longer one.
    void record_pause(upstream_pointer const& target, instant end);

    std::vector<upstream_pointer> const& of_service(std::string_view service) const;
    std::size_t size() const { return by_id_.size(); }
    std::map<std::string, upstream_pointer> const& all() const { return by_id_; }

private:
    void apply(std::string const& id, std::optional<upstream_entry> entry, bool is_recent);
    void receive(upstream& target, upstream_entry entry, bool is_recent) const;
    void remove(std::string const& id);
    void remember(upstream const& target);
    void rebuild(std::string const& service);

    std::function<void(upstream const&)> on_change_;
    clock_function clock_;
    std::map<std::string, upstream_pointer> by_id_;
    std::map<upstream_process, upstream_statement> statements_;
    std::deque<upstream_process> statement_order_; ///< oldest first
    std::map<std::string, std::vector<upstream_pointer>, std::less<>> by_service_;
};

} // namespace almondcart::forwarding
