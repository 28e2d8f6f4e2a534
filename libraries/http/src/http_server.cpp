#include <almondcart/http/http_server.hpp>

#include <utility>

#include "server_core.hpp"

namespace almondcart {

absl::StatusOr<std::unique_ptr<http_server>>
http_server::create(event_loop& loop, http_server_settings settings)
{
    auto const address = socket_address::parse(settings.address);
    if (!address.ok())
        return address.status();
    auto core = std::make_shared<detail::server_core>(loop, std::move(settings), *address);
    if (auto status = core->open_listener(); !status.ok())
        return status;
    return std::unique_ptr<http_server>(new http_server(std::move(core)));
}

http_server::http_server(std::shared_ptr<detail::server_core> core)
    : core_(std::move(core))
{}

http_server::~http_server()
{
    core_->shut_down();
}

void http_server::route(std::string_view method, std::string_view prefix, handler handle)
{
    core_->add_route(std::string(method), std::string(prefix), std::move(handle));
}

int http_server::port() const
{
    return core_->address().port();
}

std::string http_server::address() const
{
    return core_->address().to_text();
}

void http_server::stop(std::function<void()> done)
{
    core_->stop(std::move(done));
}

void http_server::close_listener()
{
    core_->close_listener();
}

absl::Status http_server::open_listener()
{
    return core_->open_listener();
}

void http_server::drop_connections()
{
    core_->drop_connections();
}

std::size_t http_server::connection_count() const
{
    return core_->connection_count();
}

std::size_t http_server::exchange_count() const
{
    return core_->exchange_count();
}

} // namespace almondcart
