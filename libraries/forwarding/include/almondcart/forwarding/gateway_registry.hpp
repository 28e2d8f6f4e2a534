#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace almondcart::forwarding {

/// Record by which a gateway makes itself known to the others.
struct gateway_record
{
    std::string vm;
    std::int64_t started_ms = 0; ///< Unix time
    bool is_removed = false;     ///< after a planned stop

    std::string key() const { return vm; }

    /// Returns JSON, or nothing if the record removes the key.
    std::optional<std::string> value() const;
};

/// Gateways known from the log, by the names of their VMs. Names of VMs that were lost for good may
/// still be counted.
class gateway_registry
{
public:
    /// `own` is the name of this gateway's VM, which is always counted.
    explicit gateway_registry(std::string own);

    void apply(std::string const& vm, bool is_present);
    void replace_all(std::set<std::string> gateways);

    /// This gateway's record is on the log, so that the others count it.
    void set_registered() { is_registered_ = true; }

    /// Whether the gateways are known and know of this one. Until then no share can be computed.
    bool is_complete() const { return is_known_ && is_registered_; }

    bool is_registered() const { return is_registered_; }
    std::size_t size() const { return gateways_.size(); }

    /// Requests that this gateway may send to the upstream in any second, so that all gateways
    /// together send at most `per_second`. If that is less than one for each, the gateways with the
    /// highest rendezvous hash for the upstream send one.
    std::int64_t share_of(std::string_view upstream_id, std::int64_t per_second) const;

    /// Changes with each change of the gateways.
    std::uint64_t version() const { return version_; }

private:
    std::string own_;
    std::set<std::string> gateways_;
    bool is_known_ = false;
    bool is_registered_ = false;
    std::uint64_t version_ = 1;
};

} // namespace almondcart::forwarding
