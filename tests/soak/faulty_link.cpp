#include "faulty_link.hpp"

#include <almondcart/http/socket_address.hpp>

#include <sys/socket.h>

#include <array>
#include <stdexcept>
#include <utility>
#include <vector>

#include "support/tcp.hpp"

namespace almondcart::soak {

namespace {

constexpr duration forward_delay{150};

} // namespace

std::string_view name_of(link_fault fault)
{
    static constexpr std::array<std::string_view, 6> names{
        "none", "delayed", "cut_to_server", "cut_to_client", "silent", "closed"};
    return names.at(static_cast<std::size_t>(fault));
}

faulty_link::faulty_link(event_loop& loop, std::string target)
    : loop_(loop)
    , target_(std::move(target))
    , address_(test_support::find_free_address())
{
    auto address = socket_address::parse(address_);
    int const fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    constexpr int backlog = 256;
    // Without this option, connections of the port in TIME_WAIT would make the bind fail.
    int const on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (!address.ok() || ::bind(fd, address->native(), address->size()) != 0 ||
        ::listen(fd, backlog) != 0)
        throw std::runtime_error("faulty link: cannot listen on " + address_);
    listener_ = loop_.watch(fd, [this, fd] { accept_all(fd); });
}

faulty_link::~faulty_link()
{
    loop_.unwatch(listener_);
}

void faulty_link::accept_all(int listener)
{
    for (int fd = 0;
         (fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)) >= 0;)
        open(fd);
}

void faulty_link::open(int fd)
{
    if (fault_ == link_fault::closed)
    {
        // With this option, closing the socket resets the connection.
        linger const reset{1, 0};
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
        ::close(fd);
        return;
    }
    auto const id = next_id_++;
    auto& it = connections_[id];
    auto const create_callbacks = [this, id](bool is_to_server)
    {
        http1::byte_stream::callbacks result;
        result.on_data = [this, id, is_to_server](std::string_view data)
        { forward(id, is_to_server, data); };
        // Delayed data must be forwarded before the connection is closed.
        result.on_end = [this, id](http1::close_reason)
        {
            loop_.after(
                fault_ == link_fault::delayed ? 2 * forward_delay : duration(0),
                [this, id, alive = std::weak_ptr<bool>(alive_)]
                {
                    if (!alive.expired())
                        close(id);
                });
        };
        return result;
    };
    it.server = http1::byte_stream::connect(
        loop_, *socket_address::parse(target_), create_callbacks(false));
    it.client = http1::byte_stream::adopt(loop_, fd, create_callbacks(true));
}

bool faulty_link::is_blocked(bool is_to_server) const
{
    return fault_ == link_fault::silent ||
           fault_ == (is_to_server ? link_fault::cut_to_server : link_fault::cut_to_client);
}

void faulty_link::forward(std::uint64_t id, bool is_to_server, std::string_view data)
{
    auto const found = connections_.find(id);
    if (found == connections_.end())
        return;
    auto& it = found->second;
    auto& buffered = is_to_server ? it.to_server : it.to_client;
    buffered += data;
    if (fault_ != link_fault::delayed)
    {
        flush(id, is_to_server);
        return;
    }
    loop_.after(
        forward_delay,
        [this, id, is_to_server, alive = std::weak_ptr<bool>(alive_)]
        {
            if (!alive.expired())
                flush(id, is_to_server);
        });
}

void faulty_link::flush(std::uint64_t id, bool is_to_server)
{
    auto const found = connections_.find(id);
    if (found == connections_.end() || is_blocked(is_to_server))
        return;
    auto& it = found->second;
    auto& buffered = is_to_server ? it.to_server : it.to_client;
    auto const& stream = is_to_server ? it.server : it.client;
    if (!buffered.empty() && stream != nullptr)
        stream->write(std::exchange(buffered, {}));
}

void faulty_link::close(std::uint64_t id)
{
    connections_.erase(id);
}

void faulty_link::set_fault(link_fault fault)
{
    fault_ = fault;
    if (fault == link_fault::closed)
    {
        for (auto const& [id, it] : std::exchange(connections_, {}))
            (void)it;
        return;
    }
    std::vector<std::uint64_t> ids;
    for (auto const& [id, it] : connections_)
        ids.push_back(id);
    for (auto const id : ids)
    {
        flush(id, true);
        flush(id, false);
    }
}

} // namespace almondcart::soak
