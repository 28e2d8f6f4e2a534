#include "client_call.hpp"

#include <almondcart/core/status.hpp>
#include <almondcart/http/connection_end.hpp>
#include <almondcart/http/response_status.hpp>

#include <absl/strings/cord.h>
#include <absl/strings/str_cat.h>
#include <sys/socket.h>

#include <algorithm>
#include <optional>
#include <utility>

namespace almondcart {

namespace {

/// Maximum length of a response head, in bytes.
constexpr std::size_t response_head_limit = std::size_t{64} * 1024;

/// Maximum number of bytes that frame a body, between two parts of it or after the last one.
constexpr std::size_t framing_limit = std::size_t{64} * 1024;

/// Maximum number of interim responses before the final one.
constexpr int interim_response_limit = 8;

constexpr absl::string_view unsent_payload_url = "almondcart/request-unsent";

absl::Status unsent_status(std::string const& detail)
{
    auto status = make_status(result_code::no_upstream, detail);
    status.SetPayload(unsent_payload_url, absl::Cord("1"));
    return status;
}

/// Whether the headers state the end of the body in two ways, of which h2o would choose one.
bool has_ambiguous_framing(http_headers const& headers)
{
    std::optional<std::string_view> length;
    bool has_coding = false;
    for (auto const& [name, value] : headers)
    {
        if (equals_ignoring_ascii_case(name, "content-length"))
        {
            if (length && *length != value)
                return true;
            length = value;
        }
        else if (equals_ignoring_ascii_case(name, "transfer-encoding"))
        {
            if (std::exchange(has_coding, true))
                return true;
        }
    }
    return length && has_coding;
}

/// Whether a parsed head is one of a final response. h2o takes any number for a status, and passes
/// on each continuation of a folded line as a field without a name.
bool is_valid(http_response_head const& head)
{
    return is_final_status(head.status) &&
           std::ranges::none_of(head.headers, [](auto const& it) { return it.first.empty(); }) &&
           !has_ambiguous_framing(head.headers);
}

/// h2o keeps the connection after a complete response, whatever its callback returns. It closes one
/// that has been shut down before it sends the next request on it.
void prevent_reuse(h2o_http1client_t const& native)
{
    shutdown(h2o_socket_get_fd(native.sock), SHUT_RDWR);
}

/// Sets a flag for the duration of a scope.
class scoped_flag
{
public:
    explicit scoped_flag(bool& flag)
        : flag_(flag)
    {
        flag_ = true;
    }
    ~scoped_flag() { flag_ = false; }
    scoped_flag(scoped_flag const&) = delete;
    scoped_flag& operator=(scoped_flag const&) = delete;

private:
    bool& flag_;
};

} // namespace

bool is_request_unsent(absl::Status const& status)
{
    return status.GetPayload(unsent_payload_url).has_value();
}

namespace detail {

client_call::client_call(http_client::state& client, http_request request, http_callbacks callbacks)
    : client_(&client)
    , request_(std::move(request))
    , callbacks_(std::move(callbacks))
{}

client_call::~client_call()
{
    timeout_.cancel();
}

void client_call::start()
{
    auto const address = socket_address::parse(request_.address);
    if (!address.ok())
    {
        scoped_flag const scope(is_starting_);
        end(make_status(result_code::internal_error, std::string(address.status().message())));
        return;
    }
    build_head();
    set_timeout(request_.connect_timeout, "connection not established in time");
    scoped_flag const scope(is_starting_);
    pool_ = request_.is_connection_reusable
                ? client_->pool_for(request_.address)
                : std::make_shared<connection_pool>(client_->loop, *address);
    pool_->begin_call();
    h2o_http1client_connect_with_pool(
        &native_, this, &client_->context, pool_->native(), on_connect);
}

void client_call::build_head()
{
    head_ = request_.method + " " + request_.path + " HTTP/1.1\r\nhost: " + request_.address +
            "\r\nconnection: " + (request_.is_connection_reusable ? "keep-alive" : "close") +
            "\r\n";
    if (!request_.body.empty() || request_.method == "POST" || request_.method == "PUT")
        head_ += "content-length: " + std::to_string(request_.body.size()) + "\r\n";
    for (auto const& [name, value] : request_.headers)
        absl::StrAppend(&head_, name, ": ", value, "\r\n");
    head_ += "\r\n";
}

void client_call::set_timeout(duration timeout, char const* message)
{
    timeout_.cancel();
    if (timeout <= duration(0))
        return;
    timeout_ = client_->loop.after(
        timeout,
        [this, message]
        {
            auto const protector = shared_from_this();
            auto const detail = request_.address + ": " + message;
            close_connection();
            end(is_sent_ ? make_status(result_code::upstream_lost, detail) : unsent_status(detail));
        });
}

void client_call::close_connection()
{
    if (native_ == nullptr)
        return;
    if (is_in_h2o_)
        is_cancelled_ = true;
    else
        h2o_http1client_cancel(std::exchange(native_, nullptr));
}

void client_call::check_head_size()
{
    if (native_ == nullptr || native_->sock->input->size <= response_head_limit)
        return;
    // In the next round, because the callback of the call may destroy the client, which checks its
    // other calls now.
    client_->loop.post(
        [weak = weak_from_this()]
        {
            auto const self = weak.lock();
            if (self == nullptr || self->native_ == nullptr)
                return;
            self->close_connection();
            self->fail("response head is too large");
        });
}

void client_call::cancel()
{
    if (client_ == nullptr)
        return;
    auto const protector = shared_from_this();
    callbacks_ = {};
    close_connection();
    end(absl::CancelledError());
}

void client_call::end(absl::Status status)
{
    if (client_ == nullptr)
        return;
    timeout_.cancel();
    auto const protector = shared_from_this();
    auto& client = *std::exchange(client_, nullptr);
    client.awaiting_head.erase(this);
    if (pool_ != nullptr)
    {
        pool_->end_call(client.loop.now());
        // The pool is kept, because h2o returns the connection to it after this callback.
        client.loop.post([pool = std::move(pool_)] {});
    }
    client.remove(this);
    auto callback = std::exchange(callbacks_, {}).on_done;
    if (callback == nullptr)
        return;
    if (is_starting_)
        client.loop.post([callback = std::move(callback), status = std::move(status)]
                         { callback(status); });
    else
        callback(std::move(status));
}

void client_call::fail(std::string_view detail)
{
    end(make_status(
        result_code::upstream_lost, absl::StrCat(request_.address, ": ", std::string(detail))));
}

h2o_http1client_head_cb client_call::on_connect(
    h2o_http1client_t* native,
    char const* error,
    h2o_iovec_t** buffers,
    std::size_t* buffer_count,
    int* is_head_method)
{
    auto const self = static_cast<client_call*>(native->data)->shared_from_this();
    if (error != nullptr)
    {
        self->native_ = nullptr;
        self->end(unsent_status(self->request_.address + ": " + error));
        return nullptr;
    }
    self->is_sent_ = true;
    self->client_->awaiting_head.insert(self.get());
    native->informational_cb = on_interim_response;
    self->set_timeout(self->request_.first_byte_timeout, "no response in time");
    auto const& body = self->request_.body;
    self->buffers_[0] = h2o_iovec_init(self->head_.data(), self->head_.size());
    self->buffers_[1] = h2o_iovec_init(body.data(), body.size());
    *buffers = self->buffers_;
    *buffer_count = body.empty() ? 1 : 2;
    *is_head_method = self->request_.method == "HEAD" ? 1 : 0;
    return on_head;
}

int client_call::on_interim_response(
    h2o_http1client_t* native,
    int /*minor_version*/,
    int /*status*/,
    h2o_iovec_t /*message*/,
    h2o_header_t* /*headers*/,
    std::size_t /*header_count*/)
{
    auto const self = static_cast<client_call*>(native->data)->shared_from_this();
    if (++self->interim_response_count_ <= interim_response_limit)
        return 0;
    self->native_ = nullptr;
    self->fail("too many interim responses");
    return -1;
}

h2o_http1client_body_cb client_call::on_head(
    h2o_http1client_t* native,
    char const* error,
    int /*minor_version*/,
    int status,
    h2o_iovec_t /*message*/,
    h2o_header_t* headers,
    std::size_t header_count,
    int /*head_size*/)
{
    auto const self = static_cast<client_call*>(native->data)->shared_from_this();
    self->client_->awaiting_head.erase(self.get());
    bool const is_complete = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !is_complete)
    {
        self->native_ = nullptr;
        self->fail(error);
        return nullptr;
    }
    http_response_head head{status, {}};
    for (std::size_t i = 0; i < header_count; ++i)
        head.headers.emplace_back(
            std::string(headers[i].name->base, headers[i].name->len),
            std::string(headers[i].value.base, headers[i].value.len));
    if (!is_valid(head))
    {
        prevent_reuse(*native);
        self->native_ = nullptr;
        self->fail("response is malformed");
        return nullptr;
    }
    self->is_chunked_ = find_header(head.headers, "transfer-encoding").has_value();
    self->ends_with_connection_ =
        !self->is_chunked_ && !find_header(head.headers, "content-length").has_value();
    if (is_complete)
        self->native_ = nullptr;
    else
        self->set_timeout(self->request_.idle_timeout, "response stopped");
    {
        scoped_flag const scope(self->is_in_h2o_);
        if (self->callbacks_.on_headers != nullptr)
        {
            auto const callback = self->callbacks_.on_headers;
            callback(head);
        }
    }
    if (self->is_cancelled_)
    {
        self->native_ = nullptr;
        return nullptr;
    }
    if (is_complete)
    {
        self->end(absl::OkStatus());
        return nullptr;
    }
    return on_body;
}

bool client_call::count_received(std::size_t body_bytes, std::size_t all_bytes)
{
    auto const limit = request_.body_limit_bytes;
    body_bytes_ += body_bytes;
    framing_bytes_ = body_bytes != 0 ? 0 : framing_bytes_ + all_bytes;
    return (limit == 0 || body_bytes_ <= limit) && framing_bytes_ <= framing_limit;
}

bool client_call::receive_body()
{
    auto& input = native_->sock->input;
    if (input->size != 0 && callbacks_.on_body != nullptr)
    {
        scoped_flag const scope(is_in_h2o_);
        auto const callback = callbacks_.on_body;
        callback(std::string_view(input->bytes, input->size));
    }
    h2o_buffer_consume(&input, input->size);
    return !is_cancelled_;
}

int client_call::on_body(h2o_http1client_t* native, char const* error)
{
    auto const self = static_cast<client_call*>(native->data)->shared_from_this();
    bool const is_complete = error == h2o_http1client_error_is_eos;
    if (error != nullptr && !is_complete)
    {
        self->native_ = nullptr;
        self->fail(error);
        return -1;
    }
    // h2o reports a chunked body as complete when the connection is closed between two chunks. The
    // last chunk arrives together with bytes, the end of a closed connection without.
    bool const is_cut_between_chunks = self->is_chunked_ && native->sock->bytes_read == 0;
    // It also reports a body without a length as complete when the connection is reset.
    bool const was_reset = self->ends_with_connection_ && is_reset(h2o_socket_get_fd(native->sock));
    if (is_complete && (is_cut_between_chunks || was_reset))
    {
        self->native_ = nullptr;
        self->fail("response is incomplete");
        return -1;
    }
    auto const size = native->sock->input->size;
    if (!self->count_received(size, native->sock->bytes_read))
    {
        prevent_reuse(*native);
        self->native_ = nullptr;
        self->fail("response is too large");
        return -1;
    }
    bool const is_continued = self->receive_body();
    if (!is_continued || is_complete)
        self->native_ = nullptr;
    if (!is_continued)
        return -1;
    if (is_complete)
        self->end(absl::OkStatus());
    else if (size != 0)
        self->set_timeout(self->request_.idle_timeout, "response stopped");
    return 0;
}

} // namespace detail

} // namespace almondcart
