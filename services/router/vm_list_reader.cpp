#include "vm_list_reader.hpp"

#include <almondcart/core/json.hpp>

#include <memory>
#include <utility>
#include <vector>

namespace almondcart {

namespace {

constexpr duration read_timeout{2'000};

} // namespace

vm_list_reader::vm_list_reader(http_client& client, std::string address, membership& members)
    : client_(client)
    , address_(std::move(address))
    , members_(members)
{}

void vm_list_reader::poll()
{
    if (address_.empty() || call_.is_active())
        return;
    http_request request;
    request.address = address_;
    request.path = "/v1/vms";
    request.first_byte_timeout = read_timeout;
    request.idle_timeout = read_timeout;
    auto const body = std::make_shared<std::string>();
    http_callbacks callbacks;
    callbacks.on_body = [body](std::string_view data) { *body += data; };
    callbacks.on_done = [this, body](absl::Status const& status)
    {
        auto const value = parse_json(*body);
        if (status.ok() && value.ok())
            apply(*value);
    };
    call_ = client_.request(std::move(request), std::move(callbacks));
}

void vm_list_reader::apply(Json::Value const& value)
{
    if (!value.isObject() || !value["vms"].isArray())
        return;
    std::vector<vm_entry> entries;
    for (auto const& vm : value["vms"])
    {
        if (vm.isObject() && vm["address"].isString() && vm["state"].isString())
            entries.push_back({vm["address"].asString(), vm["state"].asString() == "leaving"});
    }
    members_.apply(entries);
}

} // namespace almondcart
