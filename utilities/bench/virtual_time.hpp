#pragma once

#include <almondcart/core/clock.hpp>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace almondcart {

/// Runs actions in the order of virtual time. Actions with equal times run in the order of their
/// insertion.
class virtual_time
{
public:
    instant now() const { return now_; }

    clock_function clock()
    {
        return [this] { return now_; };
    }

    void at(instant time, std::function<void()> action)
    {
        actions_.push({std::max(time, now_), next_++, std::move(action)});
    }
    void after(duration delay, std::function<void()> action)
    {
        at(now_ + delay, std::move(action));
    }

    /// Repeats `action` until `run_until` returns.
    void every(duration first, duration period, std::function<void()> action)
    {
        after(
            first,
            [this, period, action = std::move(action)]
            {
                action();
                every(period, period, action);
            });
    }

    void run_until(instant end)
    {
        while (!actions_.empty() && actions_.top().time <= end)
        {
            auto const next = actions_.top();
            actions_.pop();
            now_ = next.time;
            next.action();
        }
        now_ = end;
    }

private:
    struct timed_action
    {
        instant time;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(timed_action const& other) const
        {
            return std::pair(time, order) > std::pair(other.time, other.order);
        }
    };

    instant now_;
    std::uint64_t next_ = 0;
    std::priority_queue<timed_action> actions_;
};

} // namespace almondcart
