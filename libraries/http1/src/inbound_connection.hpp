#pragma once

#include <almondcart/http1/inbound_server.hpp>

#include <h2o.h>

#include <limits>
#include <memory>
#include <unordered_map>

namespace almondcart::http1 {

struct inbound_server::state
{
    state(event_loop& owner, handler function)
        : loop(owner)
        , handle(std::move(function))
    {}

    event_loop& loop;
    handler handle;
    inbound_limits limits;
    h2o_socket_t* listener = nullptr;
    bool is_draining = false;
    std::shared_ptr<buffer_budget> buffers =
        std::make_shared<buffer_budget>(std::numeric_limits<std::size_t>::max());
    std::unordered_map<inbound_connection*, std::shared_ptr<inbound_connection>> connections;
};

/// One client connection. It handles one request at a time and buffers pipelined requests.
class inbound_connection : public std::enable_shared_from_this<inbound_connection>
{
public:
    inbound_connection(std::weak_ptr<inbound_server::state> server, event_loop& loop);
    ~inbound_connection();

    void open(int fd);
    void close();

    /// Whether nothing is lost if the connection is closed now.
    bool is_idle() const { return !is_busy() && input_.empty() && !decoder_; }

    /// Whether a request is waiting for the end of its response, or a response is still being
    /// written, or the client may not have received its end yet.
    bool is_busy() const { return !exchange_.expired() || is_closing_ || unwritten_bytes() > 0; }

private:
    friend class inbound_exchange;

    enum class phase
    {
        head,
        body,
        response,
    };

    void receive(std::string_view data);
    void read_requests();
    bool read_head();
    bool read_body();
    void dispatch();
    void reject(int status);
    void arm_timer(duration delay);
    void expire();
    void finish_response(bool is_closing);
    void end_incomplete();
    void reset();
    void await_written();
    std::size_t unwritten_bytes() const;
    void write(std::string_view data);
    void handle_drained();
    void update_account();
    bool is_draining() const;
    inbound_limits limits() const;

    std::weak_ptr<inbound_server::state> server_;
    event_loop& loop_;
    std::unique_ptr<byte_stream> stream_;
    std::string input_;
    buffer_account account_; ///< unread input and unwritten output
    phase phase_ = phase::head;
    std::shared_ptr<inbound_exchange> incoming_;
    std::optional<body_decoder> decoder_;
    std::weak_ptr<inbound_exchange> exchange_;
    timer timer_;
    std::size_t unwritten_at_timer_ = 0; ///< when the timer was armed
    bool is_closing_ = false;            ///< after the last response
    bool is_incomplete_ = false;         ///< the last response ends without its terminator
    bool is_reading_ = false;
};

} // namespace almondcart::http1
