#include "engine_model.hpp"

#include <algorithm>
#include <utility>

namespace almondcart {

engine_model::engine_model(
    virtual_time& time,
    int slots,
    std::function<void(int, bool)> cache_changed)
    : time_(time)
    , slots_(slots)
    , cache_changed_(std::move(cache_changed))
{}

void engine_model::submit(engine_job job)
{
    if (running_ >= slots_)
    {
        queue_.emplace(bench_kinds[job.request->kind].priority, std::move(job));
        return;
    }
    start(job);
}

void engine_model::start(engine_job const& job)
{
    ++running_;
    auto const& request = *job.request;
    bool const has_hit = use_cache(request.prefix_group);
    auto const tokens = request.tail_tokens + (has_hit ? 0 : request.prefix_tokens);
    auto const prefill = duration(static_cast<duration::rep>(prefill_time_ms(tokens)));
    prefill_idle_at_ = std::max(prefill_idle_at_, time_.now()) + prefill;
    time_.at(
        prefill_idle_at_,
        [this, job, has_hit]
        {
            job.first_token(has_hit);
            auto const decode_ms = job.request->output_tokens * token_time_ms(running_);
            time_.after(
                duration(static_cast<duration::rep>(decode_ms)),
                [this, job]
                {
                    --running_;
                    job.ended();
                    if (running_ >= slots_ || queue_.empty())
                        return;
                    auto const next = queue_.extract(queue_.begin());
                    start(next.mapped());
                });
        });
}

bool engine_model::use_cache(int prefix_group)
{
    auto const it = std::find(cache_.begin(), cache_.end(), prefix_group);
    if (it != cache_.end())
    {
        cache_.splice(cache_.begin(), cache_, it);
        return true;
    }
    cache_.push_front(prefix_group);
    cache_changed_(prefix_group, true);
    if (cache_.size() > cache_capacity)
    {
        cache_changed_(cache_.back(), false);
        cache_.pop_back();
    }
    return false;
}

} // namespace almondcart
