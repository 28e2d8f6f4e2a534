#pragma once

#include <almondcart/ledger/configuration_state.hpp>

#include <json/json.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace almondcart {

/// Newest configuration received from a router. A configuration with a lower offset is ignored.
class agent_configuration
{
public:
    /// Applies the result of `configuration_since`. Returns whether it was newer.
    absl::StatusOr<bool> apply(Json::Value const& result);

    std::int64_t offset() const { return state_.offset(); }
    bool has_service(std::string const& service) const;
    bool is_blocked(std::string const& fingerprint) const { return state_.is_blocked(fingerprint); }

    /// Offset of the newest publish record among the services that list `upstream` in a pool.
    std::optional<std::int64_t> publish_offset(std::string const& upstream) const;

    /// Document versions as `{"service":version}`.
    Json::Value versions() const;

private:
    configuration_state state_;
};

} // namespace almondcart
