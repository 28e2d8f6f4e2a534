#pragma once

#include <almondcart/http/http_client.hpp>
#include <almondcart/routing/membership.hpp>

#include <json/json.h>

#include <string>

namespace almondcart {

/// Reads the platform's list of live and leaving VMs, which lags behind their actual state.
class vm_list_reader
{
public:
    /// An empty address means that there is no list.
    vm_list_reader(http_client& client, std::string address, membership& members);

    /// Reads the list unless a read is in progress.
    void poll();

private:
    void apply(Json::Value const& value);

    http_client& client_;
    std::string address_;
    membership& members_;
    http_call call_;
};

} // namespace almondcart
