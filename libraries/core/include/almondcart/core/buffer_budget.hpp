#pragma once

#include <algorithm>
#include <cstddef>
#include <limits>
#include <memory>
#include <utility>

namespace almondcart {

/// Shares a limit for buffered bytes among all buffers of a process, so that their sum stays near
/// it however many peers are slow.
///
/// Each buffer may grow to half of what is free. So a single one gets a third of the limit, and
/// many together approach it. Small buffers are allowed even then; only they can take the sum
/// beyond it, by `overrun_bytes` at most.
class buffer_budget
{
public:
    /// Size up to which a buffer is always allowed.
    static constexpr std::size_t guaranteed_bytes = std::size_t{16} * 1024;

    explicit buffer_budget(
        std::size_t limit_bytes,
        std::size_t overrun_bytes = std::numeric_limits<std::size_t>::max())
        : limit_bytes_(limit_bytes)
        , overrun_bytes_(overrun_bytes)
    {}

    std::size_t limit_bytes() const { return limit_bytes_; }
    std::size_t used_bytes() const { return used_bytes_; }

    /// Size up to which one buffer may grow now.
    std::size_t share_bytes() const
    {
        constexpr std::size_t share_divisor = 2;
        auto const free = limit_bytes_ - std::min(limit_bytes_, used_bytes_);
        return std::max(guaranteed_bytes, free / share_divisor);
    }

    /// Whether `bytes` more may be taken by buffers that are within their share.
    bool has_room(std::size_t bytes) const
    {
        if (used_bytes_ <= limit_bytes_)
            return true;
        auto const overrun = used_bytes_ - limit_bytes_;
        return overrun <= overrun_bytes_ && bytes <= overrun_bytes_ - overrun;
    }

private:
    friend class buffer_account;

    std::size_t limit_bytes_;
    std::size_t overrun_bytes_;
    std::size_t used_bytes_ = 0;
};

/// The bytes that one buffer, or several of one owner, take from a budget; released at the end of
/// its life.
class buffer_account
{
public:
    explicit buffer_account(std::shared_ptr<buffer_budget> budget)
        : budget_(std::move(budget))
    {}

    ~buffer_account() { resize(0); }
    buffer_account(buffer_account const&) = delete;
    buffer_account& operator=(buffer_account const&) = delete;

    void resize(std::size_t bytes)
    {
        budget_->used_bytes_ += bytes;
        budget_->used_bytes_ -= std::exchange(bytes_, bytes);
    }

    std::size_t bytes() const { return bytes_; }

    /// Whether the buffer may hold `bytes` in all.
    bool allows(std::size_t bytes) const
    {
        return bytes <= budget_->share_bytes() &&
               (bytes <= bytes_ || budget_->has_room(bytes - bytes_));
    }

    std::shared_ptr<buffer_budget> const& budget() const { return budget_; }

private:
    std::shared_ptr<buffer_budget> budget_;
    std::size_t bytes_ = 0;
};

} // namespace almondcart
