#include "server_core.hpp"

#include <almondcart/core/clock.hpp>
#include <almondcart/core/status.hpp>

#include <h2o/http1.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include "exchange_link.hpp"
#include "inbound_connection.hpp"

namespace almondcart::detail {

namespace {

/// Limit of connections accepted per event, so that other events are not starved.
constexpr int accept_batch_limit = 64;

/// Time a client may take to send a request, and for which an idle connection stays open. It is
/// well above the time for which `http_client` keeps idle connections, so that a client rarely
/// sends a request on a connection that the server is closing.
constexpr std::uint64_t request_timeout_ms = 60'000;

/// Receive buffer of a connection, which the kernel doubles. What it holds counts towards the
/// memory of the process, and it bounds what one round of reads can add before limits are enforced.
constexpr int receive_buffer_bytes = 32 * 1024;

constexpr duration progress_check_interval{1'000};

/// Pause until h2o is looked at again that has not yet resumed to read from a connection.
constexpr duration watch_retry_interval{5};

/// Copies of a body while it is handled: in the exchange, and in what the handler makes of it.
constexpr std::size_t body_copies = 2;

/// Content type and body of the response to an oversized body, which h2o refuses before a handler
/// is called. Like other refusals it carries a numbered code.
constexpr std::string_view problem_type = "application/problem+json";
constexpr std::string_view body_too_large =
    R"({"type":"urn:almondcart:body_too_large","title":"body_too_large","status":413,)"
    R"("detail":"the body exceeds the limit of this server","code":1102,"name":"body_too_large",)"
    R"("ran":"no"})";

constexpr std::string_view overloaded =
    R"({"type":"urn:almondcart:overloaded","title":"overloaded","status":503,)"
    R"("detail":"the server holds too many requests","code":1301,"name":"overloaded",)"
    R"("ran":"no"})";

bool matches_prefix(std::string_view path, std::string_view prefix)
{
    if (!path.starts_with(prefix))
        return false;
    return path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/';
}

std::string to_string(h2o_iovec_t const& text)
{
    return text.base == nullptr ? std::string() : std::string(text.base, text.len);
}

/// Replaces the plain-text response of h2o to an oversized body.
void send_body_too_large(
    h2o_ostream_t* self,
    h2o_req_t* request,
    h2o_iovec_t*,
    std::size_t,
    h2o_send_state_t state)
{
    auto body = h2o_iovec_init(body_too_large.data(), body_too_large.size());
    h2o_ostream_send_next(self, request, &body, 1, state);
}

void replace_body_too_large(h2o_filter_t*, h2o_req_t* request, h2o_ostream_t** slot)
{
    constexpr int payload_too_large = 413;
    if (request->res.status == payload_too_large)
    {
        request->res.content_length = body_too_large.size();
        h2o_set_header(
            &request->pool,
            &request->res.headers,
            H2O_TOKEN_CONTENT_TYPE,
            problem_type.data(),
            problem_type.size(),
            1);
        auto* const stream = h2o_add_ostream(request, sizeof(h2o_ostream_t), slot);
        stream->do_send = send_body_too_large;
        slot = &stream->next;
    }
    h2o_setup_next_ostream(request, slot);
}

} // namespace

server_core::server_core(event_loop& loop, http_server_settings settings, socket_address address)
    : loop_(loop)
    , settings_(std::move(settings))
    , address_(address)
{
    if (settings_.limiter == nullptr)
        settings_.limiter = std::make_shared<connection_limiter>(
            connection_limits(), system_clock_source::create());
    h2o_config_init(&configuration_);
    configuration_.server_name = h2o_iovec_init("almondcart", std::strlen("almondcart"));
    configuration_.max_request_entity_size = settings_.body_limit;
    configuration_.http1.req_timeout = request_timeout_ms;
    configuration_.http1.upgrade_to_http2 = 0;
    auto* const host = h2o_config_register_host(
        &configuration_, h2o_iovec_init("default", std::strlen("default")), 65535);
    // A request that h2o itself refuses belongs to no registered path.
    h2o_create_filter(&host->fallback_path, sizeof(h2o_filter_t))->on_setup_ostream =
        replace_body_too_large;
    auto* const path = h2o_config_register_path(host, "/", 0);
    auto* const handler =
        reinterpret_cast<request_handler*>(h2o_create_handler(path, sizeof(request_handler)));
    handler->core = this;
    handler->super.on_req = [](h2o_handler_t* self, h2o_req_t* request)
    {
        reinterpret_cast<request_handler*>(self)->core->handle_request(request);
        return 0;
    };
    h2o_context_init(&context_, loop_.native(), &configuration_);
    accept_context_.ctx = &context_;
    accept_context_.hosts = configuration_.hosts;
    disconnect_fd_ = epoll_create1(EPOLL_CLOEXEC);
    disconnect_watch_ = loop_.watch(disconnect_fd_, [this] { handle_disconnects(); });
    progress_timer_ = loop_.every(progress_check_interval, [this] { check_progress(); });
}

server_core::~server_core()
{
    progress_timer_.cancel();
    close_listener();
    loop_.unwatch(disconnect_watch_);
    h2o_context_dispose(&context_);
    h2o_config_dispose(&configuration_);
}

absl::Status server_core::open_listener()
{
    auto const error = [this](char const* step)
    {
        return make_status(
            result_code::invalid_settings,
            address_.to_text() + ": " + step + " failed: " + std::strerror(errno));
    };
    if (listener_ != nullptr)
        return absl::OkStatus();
    int const fd = socket(address_.family(), SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return error("socket");
    int const enabled = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof(enabled));
    setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receive_buffer_bytes, sizeof(receive_buffer_bytes));
    if (bind(fd, address_.native(), address_.size()) != 0)
    {
        auto status = error("bind");
        ::close(fd);
        return status;
    }
    if (listen(fd, SOMAXCONN) != 0)
    {
        auto status = error("listen");
        ::close(fd);
        return status;
    }
    address_ = socket_address::of_socket(fd);
    listener_fd_ = fd;
    listener_ = loop_.watch(fd, [this] { accept_connections(); });
    return absl::OkStatus();
}

void server_core::close_listener()
{
    if (listener_ == nullptr)
        return;
    loop_.unwatch(listener_);
    listener_ = nullptr;
}

void server_core::accept_connections()
{
    for (int i = 0; i < accept_batch_limit && listener_ != nullptr; ++i)
    {
        auto* const socket = h2o_evloop_socket_accept(listener_);
        if (socket == nullptr)
            return;
        connections_.insert(socket);
        h2o_accept(&accept_context_, socket);
        inbound_connection::add(shared_from_this(), socket);
    }
}

void server_core::remove_connection(h2o_socket_t* socket)
{
    connections_.erase(socket);
    if (is_shut_down_ && connections_.empty())
        loop_.release(this);
}

void server_core::watch_reads_later(std::weak_ptr<inbound_connection> connection)
{
    if (unwatched_.empty())
        loop_.post(
            [weak = weak_from_this()]
            {
                if (auto const self = weak.lock())
                    self->watch_reads();
            });
    unwatched_.push_back(std::move(connection));
}

void server_core::watch_reads()
{
    auto connections = std::exchange(unwatched_, {});
    std::erase_if(
        connections,
        [](auto const& it)
        {
            auto const connection = it.lock();
            return connection == nullptr || connection->watch_reads();
        });
    if (connections.empty())
        return;
    unwatched_ = std::move(connections);
    loop_.after(
        watch_retry_interval,
        [weak = weak_from_this()]
        {
            if (auto const self = weak.lock())
                self->watch_reads();
        });
}

void server_core::check_progress()
{
    auto const protector = shared_from_this();
    std::vector<std::shared_ptr<inbound_connection>> connections;
    for (auto* const socket : connections_)
        connections.push_back(inbound_connection::of(socket).shared_from_this());
    for (auto const& it : connections)
        it->check_progress();
}

void server_core::handle_request(h2o_req_t* request)
{
    std::shared_ptr<http_exchange> const exchange(new http_exchange);
    exchange->method_ = to_string(request->method);
    auto const target = to_string(request->path);
    auto const question_mark = target.find('?');
    exchange->path_ = target.substr(0, question_mark);
    if (question_mark != std::string::npos)
        exchange->query_ = target.substr(question_mark + 1);
    auto* const socket = request->conn->callbacks->get_socket(request->conn);
    auto& connection = inbound_connection::of(socket);
    auto const copied_bytes = body_copies * request->entity.len;
    bool const is_allowed = connection.allows_handling(copied_bytes);
    if (is_allowed)
        exchange->body_ = to_string(request->entity);
    for (std::size_t i = 0; i < request->headers.size; ++i)
    {
        auto const& header = request->headers.entries[i];
        exchange->headers_.emplace_back(to_string(*header.name), to_string(header.value));
    }
    exchange->link_ = &exchange_link::create(request, shared_from_this(), exchange);
    if (is_allowed)
    {
        exchange->link_->copied_bytes = copied_bytes;
        connection.update_and_enforce();
        dispatch(exchange);
        return;
    }
    request->http1_is_persistent = 0;
    exchange->respond(
        503,
        {{"content-type", std::string(problem_type)}, {"retry-after", "1"}},
        std::string(overloaded));
}

void server_core::dispatch(std::shared_ptr<http_exchange> const& exchange)
{
    route_entry const* best = nullptr;
    bool has_path = false;
    for (auto const& it : routes_)
    {
        if (!matches_prefix(exchange->path(), it.prefix))
            continue;
        has_path = true;
        if (it.method != "*" && it.method != exchange->method())
            continue;
        if (best == nullptr || it.prefix.size() > best->prefix.size())
            best = &it;
    }
    if (best != nullptr)
    {
        auto const handle = best->handle;
        handle(exchange);
        return;
    }
    if (has_path)
        exchange->respond_text(405, "text/plain", "method not allowed\n");
    else
        exchange->respond_text(404, "text/plain", "no such path\n");
}

void server_core::add_route(std::string method, std::string prefix, http_server::handler handle)
{
    routes_.push_back({std::move(method), std::move(prefix), std::move(handle)});
}

void server_core::add(exchange_link& link)
{
    link.id = next_link_id_++;
    links_.emplace(link.id, &link);
    // h2o does not read from a connection while its request is being answered, so disconnects are
    // detected here. Edge-triggered, so that a pipelined request does not wake the loop.
    epoll_event event{};
    event.events = EPOLLRDHUP | EPOLLET;
    event.data.u64 = link.id;
    epoll_ctl(disconnect_fd_, EPOLL_CTL_ADD, link.fd, &event);
}

void server_core::remove(exchange_link const& link)
{
    epoll_ctl(disconnect_fd_, EPOLL_CTL_DEL, link.fd, nullptr);
    links_.erase(link.id);
    check_stopped();
}

void server_core::handle_disconnects()
{
    std::array<epoll_event, 64> events{};
    int const count = epoll_wait(disconnect_fd_, events.data(), static_cast<int>(events.size()), 0);
    auto const protector = shared_from_this();
    for (int i = 0; i < count; ++i)
    {
        auto const it = links_.find(events.at(static_cast<std::size_t>(i)).data.u64);
        if (it == links_.end())
            continue;
        auto& link = *it->second;
        if (auto const exchange = link.exchange.lock())
            exchange->set_disconnected();
        else
            link.close();
    }
}

void server_core::drop_connections()
{
    for (auto* const socket : connections_)
        shutdown(h2o_socket_get_fd(socket), SHUT_RDWR);
}

void server_core::stop(std::function<void()> done)
{
    close_listener();
    is_stopping_ = true;
    stopped_callback_ = std::move(done);
    check_stopped();
}

void server_core::check_stopped()
{
    if (!is_stopping_ || !links_.empty() || stopped_callback_ == nullptr)
        return;
    loop_.post(
        [weak = weak_from_this()]
        {
            auto const self = weak.lock();
            if (self == nullptr || !self->links_.empty() || self->stopped_callback_ == nullptr)
                return;
            auto const callback = std::exchange(self->stopped_callback_, nullptr);
            callback();
        });
}

void server_core::shut_down()
{
    is_shut_down_ = true;
    is_stopping_ = true;
    stopped_callback_ = nullptr;
    routes_.clear();
    close_listener();
    if (connections_.empty())
        return;
    loop_.retain(shared_from_this());
    drop_connections();
}

} // namespace almondcart::detail
