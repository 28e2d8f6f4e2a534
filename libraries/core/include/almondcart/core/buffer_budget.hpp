#pragma once

#include <algorithm>
#include <cstddef>
#include <memory>
#include <utility>

namespace almondcart {

/// Shares a limit for buffered bytes among all buffers of a process, so that their sum stays near
/// it however many peers are slow.
///
/// Each buffer may grow to half of what is free. So a single one gets a third of the limit, and
/// many together approach it. Small buffers are allowed even then; only they can take the sum
/// beyond it.
class buffer_budget
{
public:
    /// Size up to which a buffer is always allowed.
    static constexpr std::size_t guaranteed_bytes = std::size_t{16} * 1024;

    explicit buffer_budget(std::size_t limit_bytes)
        : limit_bytes_(limit_bytes)
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

private:
    friend class buffer_account;

    std::size_t limit_bytes_;
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
    bool allows(std::size_t bytes) const { return bytes <= budget_->share_bytes(); }

    std::shared_ptr<buffer_budget> const& budget() const { return budget_; }

private:
    std::shared_ptr<buffer_budget> budget_;
    std::size_t bytes_ = 0;
};

} // namespace almondcart
