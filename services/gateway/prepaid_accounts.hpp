#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "prepaid_log.hpp"

namespace almondcart {

/// Prepaid tokens of all client accounts. Accounts are distributed over several topics by hash, so
/// that appends for different accounts rarely contend. All gateways of a deployment must use the
/// same number of topics.
class prepaid_accounts
{
public:
    prepaid_accounts(
        event_loop& loop,
        platform::store_client& store,
        forwarding::prepaid_holder_settings const& settings,
        std::size_t topic_count,
        forwarding::prepaid_holder::total_function const& total,
        forwarding::token_transfer_client& peers);

    void start();
    void tick();
    void begin_shutdown();

    /// Whether the draws of all accounts have been read.
    bool is_synced() const;
    bool is_busy() const;

    /// Returns the holder of an account's tokens.
    forwarding::prepaid_holder& holder_of(std::string const& account);

private:
    std::vector<std::unique_ptr<prepaid_log>> logs_;
};

} // namespace almondcart
