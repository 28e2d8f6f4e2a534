#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "prepaid_log.hpp"

namespace almondcart {

/// Prepaid tokens of all client accounts. The accounts are spread over several topics, so that
/// appends for different accounts are rarely in conflict. All gateways of a deployment must use the
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

    /// Whether the draws of all accounts are known.
    bool is_synced() const;
    bool is_busy() const;

    /// Holder of an account's tokens.
    forwarding::prepaid_holder& of(std::string const& account);

private:
    std::vector<std::unique_ptr<prepaid_log>> logs_;
};

} // namespace almondcart
