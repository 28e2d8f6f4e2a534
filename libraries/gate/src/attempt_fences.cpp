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
    // A fence of non-idempotent work must not become one of idempotent work, which may be dropped
    // earlier.
    entry.is_idempotent = is_idempotent && (is_first || entry.is_idempotent);
    entry.fenced_at = now_();
    auto& queue = entry.is_idempotent ? idempotent_order_ : non_idempotent_order_;
    queue.push_back({request, entry.fenced_at});
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

void attempt_fences::drop_front(std::deque<expiry_entry>& queue)
{
    // A fence that was renewed has another entry further back in the queue, with the newer time.
    auto const it = fences_.find(queue.front().request);
    bool const is_idempotent_queue = &queue == &idempotent_order_;
    if (it != fences_.end() && it->second.fenced_at == queue.front().fenced_at &&
        it->second.is_idempotent == is_idempotent_queue)
        fences_.erase(it);
    queue.pop_front();
}

void attempt_fences::expire(std::deque<expiry_entry>& queue, duration retention)
{
    auto const oldest = now_() - retention;
    while (!queue.empty() && queue.front().fenced_at < oldest)
        drop_front(queue);
}

} // namespace almondcart
