#pragma once

#include <almondcart/core/instant.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace almondcart::bench {

/// Event queue in virtual time. Events with equal times run in the order of their insertion.
class event_queue
{
public:
    using action = std::function<void()>;

    instant now() const { return now_; }

    void at(instant time, action run) { events_.push({time, next_number_++, std::move(run)}); }
    void after(duration delay, action run) { at(now_ + delay, std::move(run)); }

    /// Runs `run` every `interval` until the end of the simulation.
    void every(duration interval, action run)
    {
        after(
            interval,
            [this, interval, run = std::move(run)]
            {
                run();
                every(interval, run);
            });
    }

    void run_until(instant end)
    {
        while (!events_.empty() && events_.top().time <= end)
        {
            auto const next = events_.top();
            events_.pop();
            now_ = next.time;
            next.run();
        }
        now_ = end;
    }

private:
    struct entry
    {
        instant time;
        std::uint64_t number = 0;
        action run;

        friend bool operator<(entry const& left, entry const& right)
        {
            return std::pair(left.time, left.number) > std::pair(right.time, right.number);
        }
    };

    std::priority_queue<entry> events_;
    instant now_{};
    std::uint64_t next_number_ = 0;
};

} // namespace almondcart::bench
