#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace almondcart::forwarding {

/// Availability zones that the operator has drained: upstreams in them get no requests. Follows the
/// operator's records, each of which has an offset on the log.
class drained_zones
{
public:
    struct change
    {
        std::string zone;
        bool is_drained = false;
        std::int64_t offset = 0; ///< of the record, or the end of the snapshot that lacks it
    };

    using change_function = std::function<void(change const&)>;

    /// Sets a callback for the beginning and the end of each drain. It may read this object.
    void on_change(change_function callback) { on_change_ = std::move(callback); }

    /// Applies a record about `zone`. One that is older than the known record is ignored, because
    /// records behind a snapshot may be delivered again.
    void apply(std::string const& zone, bool is_drained, std::int64_t offset);

    /// Applies a snapshot with the offset of each drained zone's record. All other zones are not
    /// drained.
    void replace_all(std::map<std::string, std::int64_t> const& zones, std::int64_t end);

    bool contains(std::string_view zone) const;

    /// Number of drained zones.
    std::size_t size() const { return drained_count_; }

private:
    struct zone_state
    {
        bool is_drained = false;
        std::int64_t offset = 0;
    };

    void set(std::string const& zone, bool is_drained, std::int64_t offset);

    std::map<std::string, zone_state, std::less<>> zones_;
    std::size_t drained_count_ = 0;
    change_function on_change_;
};

} // namespace almondcart::forwarding
