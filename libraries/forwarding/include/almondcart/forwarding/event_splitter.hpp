#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace almondcart::forwarding {

/// Splits a stream of server-sent events into complete events, so that a client never receives a
/// partial one and the stream can continue on another upstream.
class event_splitter
{
public:
    /// Adds bytes of the stream and returns the events that they complete. Events whose id is not
    /// higher than that of the last returned event are dropped as duplicates.
    std::string feed(std::string_view data);

    /// Whether an event was not valid UTF-8, which the format of event streams demands. No later
    /// event is returned.
    bool is_malformed() const { return is_malformed_; }

    /// Size of the incomplete event in bytes.
    std::size_t pending_bytes() const { return pending_.size(); }

    /// Discards an incomplete event after its stream was interrupted.
    void discard_pending()
    {
        pending_.clear();
        searched_ = 0;
        is_malformed_ = false;
    }

    /// Id of the last complete event that had one.
    std::optional<std::int64_t> last_id() const { return last_id_; }
    std::int64_t event_count() const { return event_count_; }

private:
    bool is_new(std::string_view event);

    std::string pending_;
    std::size_t searched_ = 0; ///< prefix of `pending_` without an event terminator
    std::optional<std::int64_t> last_id_;
    std::int64_t event_count_ = 0;
    bool is_malformed_ = false; ///< the stream since it began or was interrupted
};

} // namespace almondcart::forwarding
