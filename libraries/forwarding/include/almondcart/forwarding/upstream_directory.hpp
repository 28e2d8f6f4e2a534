#pragma once

#include <almondcart/core/instant.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace almondcart::forwarding {

/// What the platform's registry says of one upstream.
struct upstream_entry
{
    std::string id; ///< names one start of the upstream, or several with different `started_ms`
    std::string service;
    std::string address; ///< "ip:port"
    std::string availability_zone;
    int slots = 1;
    bool is_draining = false;
    std::int64_t started_ms = 0; ///< Unix time of its start

    bool operator==(upstream_entry const&) const = default;
};

/// Upstream as seen by this router.
struct upstream
{
    upstream_entry entry;
    bool is_gone = false; ///< no longer registered; kept alive by requests in progress

    bool accepts_work() const { return !is_gone && !entry.is_draining; }
};

using upstream_pointer = std::shared_ptr<upstream>;

/// Upstreams by service, kept up to date from the registry.
class upstream_directory
{
public:
    /// Called for each upstream that was added, changed or removed.
    explicit upstream_directory(std::function<void(upstream const&)> on_change = {});

    /// Takes over one registry entry; nothing removes the upstream. A new start under an old id
    /// replaces the upstream.
    void apply(std::string const& id, std::optional<upstream_entry> entry);

    /// Takes over the whole registry; upstreams that are missing there are removed.
    void replace_all(std::map<std::string, upstream_entry> const& entries);

    std::vector<upstream_pointer> const& of_service(std::string_view service) const;
    std::size_t size() const { return by_id_.size(); }
    std::map<std::string, upstream_pointer> const& all() const { return by_id_; }

private:
    void remove(std::string const& id);
    void rebuild(std::string const& service);

    std::function<void(upstream const&)> on_change_;
    std::map<std::string, upstream_pointer> by_id_;
    std::map<std::string, std::vector<upstream_pointer>, std::less<>> by_service_;
};

} // namespace almondcart::forwarding
