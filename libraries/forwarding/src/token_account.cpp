#include <almondcart/forwarding/token_account.hpp>

#include <algorithm>
#include <utility>

namespace almondcart::forwarding {

std::int64_t token_account::spendable(instant now) const
{
    auto limit = reported_.limit_after(now - reported_at_);
    if (reporting_)
        limit = std::min(limit, reporting_->limit_after(now - reporting_since_));
    return std::min(free_tokens(), limit - spent_);
}

void token_account::take_over(std::int64_t spent, std::int64_t claimed, instant now)
{
    held_ = spent;
    spent_ = spent;
    claimed_ = claimed;
    reported_ = {spent, 0, 0, 0};
    reported_at_ = now;
    is_report_missing_ = true;
}

void token_account::begin_write(spending_report const& report, std::int64_t returned, instant now)
{
    // Tokens that are being returned must not be spent any more.
    returning_ = returned;
    reporting_ = report;
    reporting_since_ = now;
}

void token_account::finish_write(std::int64_t claimed, instant written)
{
    held_ -= std::exchange(returning_, 0);
    claimed_ = claimed;
    reported_ = *std::exchange(reporting_, std::nullopt);
    reported_at_ = written;
    is_report_missing_ = false;
}

void token_account::cancel_write()
{
    returning_ = 0;
    reporting_.reset();
}

void token_account::mark_write_uncertain(std::int64_t claimed)
{
    claimed_ = std::max(claimed_, claimed);
    // Either of the two reports may be on the log, so nothing more may be spent until the next one.
    reported_ = {std::min(spent_, reporting_->spent_tokens), 0, 0, 0};
    returning_ = 0;
    reporting_.reset();
}

} // namespace almondcart::forwarding
