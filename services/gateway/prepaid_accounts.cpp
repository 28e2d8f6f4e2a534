#include "prepaid_accounts.hpp"

#include <almondcart/core/hash.hpp>
#include <almondcart/platform/operator_records.hpp>

#include <algorithm>

namespace almondcart {

prepaid_accounts::prepaid_accounts(
    event_loop& loop,
    platform::store_client& store,
    forwarding::prepaid_holder_settings const& settings,
    std::size_t topic_count,
    forwarding::prepaid_holder::total_function const& total,
    forwarding::token_transfer_client& peers)
{
    for (std::size_t i = 0; i < topic_count; ++i)
        logs_.push_back(std::make_unique<prepaid_log>(
            loop,
            store,
            platform::prepaid_topic_prefix + std::to_string(i),
            settings,
            total,
            peers));
}

void prepaid_accounts::start()
{
    for (auto const& it : logs_)
        it->start();
}

void prepaid_accounts::tick()
{
    for (auto const& it : logs_)
        it->holder().tick();
}

void prepaid_accounts::begin_shutdown()
{
    for (auto const& it : logs_)
        it->holder().begin_shutdown();
}

bool prepaid_accounts::is_synced() const
{
    return std::ranges::all_of(logs_, [](auto const& it) { return it->is_synced(); });
}

bool prepaid_accounts::is_busy() const
{
    return std::ranges::any_of(logs_, [](auto const& it) { return it->holder().is_busy(); });
}

forwarding::prepaid_holder& prepaid_accounts::holder_of(std::string const& account)
{
    return logs_[hash64(account) % logs_.size()]->holder();
}

} // namespace almondcart
