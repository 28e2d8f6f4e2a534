#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondcart::forwarding {

/// Cuts a stream of server-sent events into whole events, so that a caller never receives half of
/// one and the stream can continue on another upstream.
class event_splitter
{
public:
    /// Adds bytes of the stream and returns the whole events that are now available. Events that
    /// were returned before, by their id, are left out.
    std::string feed(std::string_view data);

    /// Bytes of an unfinished event.
    std::size_t pending_bytes() const { return pending_.size(); }

    /// Forgets an unfinished event, whose stream was cut.
    void discard_pending()
    {
        pending_.clear();
        searched_ = 0;
    }

    /// Id of the last whole event, if it had one.
    std::optional<std::int64_t> last_id() const { return last_id_; }
    std::int64_t event_count() const { return event_count_; }

private:
    bool is_new(std::string_view event);

    std::string pending_;
    std::size_t searched_ = 0; ///< bytes of `pending_` that hold no end of an event
    std::optional<std::int64_t> last_id_;
    std::int64_t event_count_ = 0;
};

} // namespace almondcart::forwarding
