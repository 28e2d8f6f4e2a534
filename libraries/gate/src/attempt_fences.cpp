#include <almondcart/gate/attempt_fences.hpp>

#include <algorithm>
#include <utility>

namespace almondcart {

attempt_fences::attempt_fences(clock_function now, limits limits)
    : now_(std::move(now))
    , limits_(limits)
{}

void attempt_fences::add(request_id const& request, int attempt, bool is_idempotent)
{
    auto const [it, is_first] = fences_.try_emplace(request);
    auto& entry = it->second;
    entry.attempt = std::max(entry.attempt, attempt);
    // A fence of non-idempotent work never becomes one of idempotent work, which may be dropped.
    entry.is_idempotent = is_idempotent && (is_first || entry.is_idempotent);
    entry.at = now_();
    auto& order = entry.is_idempotent ? idempotent_order_ : non_idempotent_order_;
    order.push_back({request, entry.at});
    while (idempotent_order_.size() > limits_.idempotent_limit)
        drop_front(idempotent_order_);
}

int attempt_fences::highest(request_id const& request) const
{
    auto const it = fences_.find(request);
    return it == fences_.end() ? 0 : it->second.attempt;
}

void attempt_fences::tick()
{
    expire(idempotent_order_, limits_.retention);
    expire(non_idempotent_order_, limits_.non_idempotent_retention);
}

void attempt_fences::drop_front(std::deque<queued>& queue)
{
    // An entry that was renewed since is queued again further back, with its newer time.
    auto const it = fences_.find(queue.front().request);
    bool const is_idempotent_queue = &queue == &idempotent_order_;
    if (it != fences_.end() && it->second.at == queue.front().at &&
        it->second.is_idempotent == is_idempotent_queue)
        fences_.erase(it);
    queue.pop_front();
}

void attempt_fences::expire(std::deque<queued>& queue, duration retention)
{
    auto const oldest = now_() - retention;
    while (!queue.empty() && queue.front().at < oldest)
        drop_front(queue);
}

} // namespace almondcart
