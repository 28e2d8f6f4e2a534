#pragma once

#include <almondcart/core/clock.hpp>
#include <almondcart/core/random_sequence.hpp>

#include <cstdint>

namespace almondcart::forwarding {

struct read_pacing_settings
{
    duration pause{0};                 ///< between two reads, so that records arrive in batches
    duration max_pause{3'200};         ///< between two reads while the log is overloaded
    duration initial_backoff{100};     ///< after a failed call; doubles with each further one
    duration max_backoff{1'600};       ///< while the log does not answer
    duration max_awaited_backoff{400}; ///< while the log is overloaded and an answer is awaited
    std::uint64_t seed = 0;            ///< for the jitter; different for each follower
};

/// Decides when a follower of a topic calls the log next.
///
/// The log takes a limited number of calls a second from all processes together. Followers that
/// have their snapshot read less often once the log is overloaded, and return to their usual pause
/// only gradually; those whose process waits for the answer, such as for its snapshot, ask again
/// soon. So processes that start are served first, and none has to know how many others there are.
class read_pacing
{
public:
    explicit read_pacing(read_pacing_settings settings);

    /// Records an answer to a call. Must be called before `next_pause`.
    void answered();

    /// Returns the time until the next read after an answer.
    duration next_pause() const { return pause_; }

    /// Records that the log turned a call away because it gets too many. Returns the time until the
    /// call is repeated.
    duration overloaded(bool is_awaited);

    /// Records another failure. Returns the time until the call is repeated.
    duration failed();

private:
    duration back_off(duration limit);

    read_pacing_settings settings_;
    random_sequence random_; ///< because an outage or overload hits many processes at once
    duration pause_;
    duration backoff_{0};
};

} // namespace almondcart::forwarding
