#include "exchange_link.hpp"

#include <sys/socket.h>

#include <new>
#include <utility>

#include "inbound_connection.hpp"
#include "server_core.hpp"

namespace almondcart::detail {

namespace {

exchange_link& link_from_generator(h2o_generator_t* generator)
{
    return *reinterpret_cast<exchange_link*>(generator);
}

void add_header(h2o_req_t* request, std::string const& name, std::string const& value)
{
    auto const name_copy = h2o_strdup(&request->pool, name.data(), name.size());
    h2o_strtolower(name_copy.base, name_copy.len);
    auto const value_copy = h2o_strdup(&request->pool, value.data(), value.size());
    h2o_add_header_by_str(
        &request->pool,
        &request->res.headers,
        name_copy.base,
        name_copy.len,
        1,
        nullptr,
        value_copy.base,
        value_copy.len);
}

} // namespace

exchange_link& exchange_link::create(
    h2o_req_t* request,
    std::shared_ptr<server_core> core,
    std::shared_ptr<http_exchange> const& exchange)
{
    void* const memory = h2o_mem_alloc_shared(
        &request->pool,
        sizeof(exchange_link),
        [](void* object) { static_cast<exchange_link*>(object)->~exchange_link(); });
    auto* const link = new (memory) exchange_link{};
    link->generator.proceed = [](h2o_generator_t* self, h2o_req_t*)
    {
        auto& link = link_from_generator(self);
        link.is_sending = false;
        // Assigning an empty string would keep the memory.
        std::string().swap(link.in_flight);
        // Copied, because the link may be destroyed by what follows.
        auto const connection = link.connection;
        if (auto const exchange = link.exchange.lock())
            exchange->proceed();
        connection->note_progress();
    };
    link->generator.stop = [](h2o_generator_t*, h2o_req_t*) {};
    link->request = request;
    link->core = std::move(core);
    link->exchange = exchange;
    auto* const socket = request->conn->callbacks->get_socket(request->conn);
    link->fd = h2o_socket_get_fd(socket);
    link->core->add(*link);
    link->connection = inbound_connection::of(socket).shared_from_this();
    link->connection->set_link(link);
    return *link;
}

exchange_link::~exchange_link()
{
    connection->set_link(nullptr);
    core->remove(*this);
    if (auto const it = exchange.lock())
        it->detach();
}

void exchange_link::begin(int status, http_headers const& headers, std::size_t content_length)
{
    started_exchange = exchange.lock();
    request->res.status = status;
    request->res.reason = "-";
    request->res.content_length = content_length;
    for (auto const& [name, value] : headers)
        add_header(request, name, value);
    if (core->is_stopping())
        request->http1_is_persistent = 0;
    h2o_start_response(request, &generator);
}

void exchange_link::send(h2o_send_state_t state)
{
    is_sending = true;
    if (!h2o_send_state_is_in_progress(state) && core->is_stopping())
        request->http1_is_persistent = 0;
    auto buf = h2o_iovec_init(in_flight.data(), in_flight.size());
    // Copied, because h2o destroys the link at once if nothing is left to be written.
    auto const protector = connection;
    h2o_send(request, &buf, in_flight.empty() ? 0 : 1, state);
    protector->update_and_enforce();
}

std::size_t exchange_link::held_bytes() const
{
    auto const it = exchange.lock();
    auto const queued = it == nullptr ? 0 : it->queue_.capacity();
    return copied_bytes + queued + in_flight.capacity();
}

bool exchange_link::is_awaiting_client() const
{
    auto const it = exchange.lock();
    return it != nullptr && it->is_started() && it->pending_bytes() > 0;
}

void exchange_link::close() const
{
    shutdown(fd, SHUT_RDWR);
}

} // namespace almondcart::detail
