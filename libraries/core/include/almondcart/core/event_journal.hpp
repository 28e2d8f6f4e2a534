#pragma once

#include <almondcart/core/identifiers.hpp>

#include <json/json.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <string>
#include <string_view>

namespace almondcart {

/// Event of the timeline.
struct event
{
    std::uint64_t sequence = 0;     ///< number within the process's journal, starting at 1
    std::uint64_t logical_time = 0; ///< Lamport time, orders events of several processes causally
    std::int64_t wall_time_ms = 0;  ///< wall clock of the VM, for display only
    std::string part;               ///< component, for example "budget"
    std::string name;               ///< type of the event, for example "grant_closed"
    std::string request;            ///< request id text, or empty
    std::string budget;             ///< budget id text, or empty
    std::string upstream;           ///< upstream name, or empty
    std::string detail;             ///< short text; must not contain prompt text or keys
};

/// Recent events of one process in bounded memory. Each message between processes carries the
/// sender's logical time, which the receiver passes to `observe`, so that an effect never sorts
/// before its cause.
class event_journal
{
public:
    static constexpr std::size_t default_capacity = 4096;

    event_journal(
        process_id process,
        std::function<std::int64_t()> wall_time_ms,
        std::size_t capacity = default_capacity);

    /// Records an event and sets its sequence and times. Drops the oldest event when full.
    void record(event entry);

    /// Advances the logical time past one received from another process.
    void observe(std::uint64_t logical_time);

    /// Logical time to send with a message.
    std::uint64_t logical_time() const { return logical_time_; }

    process_id const& process() const { return process_; }
    std::deque<event> const& events() const { return events_; }

    /// `{"process":..,"dropped":n,"events":[..]}` with the events after `after_sequence`.
    Json::Value to_json(std::uint64_t after_sequence = 0) const;

private:
    process_id process_;
    std::function<std::int64_t()> wall_time_ms_;
    std::size_t capacity_;
    std::deque<event> events_;
    std::uint64_t next_sequence_ = 1;
    std::uint64_t logical_time_ = 0;
    std::uint64_t dropped_ = 0;
};

} // namespace almondcart
