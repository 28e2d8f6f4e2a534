#pragma once

#include <almondcart/http1/inbound_server.hpp>

#include <memory>
#include <string>

#include "inbound_server_state.hpp"

namespace almondcart::http1 {

/// One client connection. It handles one request at a time, and takes the memory for what it reads
/// from the server's budget before it reads.
class inbound_connection : public std::enable_shared_from_this<inbound_connection>
{
public:
    inbound_connection(
        std::weak_ptr<inbound_server::state> server,
        event_loop& loop,
        std::string peer);
    ~inbound_connection();

    void open(int fd);
    void close();

    /// Whether nothing is lost if the connection is closed now.
    bool is_idle() const { return !is_busy() && input_.empty() && !incoming_; }

    /// Whether a request is waiting for the end of its response, or a response is still being
    /// written, or the client may not have received its end yet.
    bool is_busy() const { return !exchange_.expired() || is_closing_ || unwritten_bytes() > 0; }

    /// Address of the client, without the port.
    std::string const& peer() const { return peer_; }

    /// Bytes taken for a request that is not complete, and for what is written.
    std::size_t held_bytes() const;

    /// Whether a request is not complete and fewer than `stall_bytes` of it came within
    /// `stall_time`.
    bool is_stalled(instant now) const;

    bool is_long_idle(instant now) const;
    instant idle_since() const { return idle_since_; }

    bool is_waiting_for_memory() const { return pause_ == pause_reason::memory; }

    /// Continues a paused connection if it may read again, closes it if the client has left, and
    /// refuses its request if it got no memory in time.
    void check_pause(instant now);

    void close_for(client_limit limit);
    void refuse_for(client_limit limit);

private:
    friend class inbound_exchange;

    enum class phase
    {
        head,
        body,
        response,
    };

    enum class pause_reason
    {
        none,
        memory, ///< the budget has no room for more input
        answer, ///< the client has to take an answer before its next request is read
    };

    /// Input that a connection may always hold, as part of what each one is counted for.
    static constexpr std::size_t own_input_bytes = 4096;

    std::size_t read_limit();
    std::size_t input_room(std::size_t limit);
    std::size_t body_room();
    bool reserve_body(std::size_t bytes);
    void widen_window(std::size_t needed);
    void narrow_window();
    std::size_t pause(pause_reason reason);
    void resume();
    void receive(std::string_view data);
    void note_progress(std::size_t bytes);
    void read_requests();
    bool read_input();
    bool read_head();
    bool read_body(std::string_view& data);
    bool is_body_too_slow() const;
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
    void post_read();
    void update_account();
    bool is_draining() const;
    inbound_limits limits() const;

    std::weak_ptr<inbound_server::state> server_;
    event_loop& loop_;
    std::string peer_;
    std::unique_ptr<byte_stream> stream_;
    std::string input_;      ///< heads, and what came behind one in the same read
    buffer_account account_; ///< unread input and unwritten output
    phase phase_ = phase::head;
    std::shared_ptr<inbound_exchange> incoming_;
    std::size_t head_cost_ = 0;   ///< memory of the parsed head of `incoming_`
    std::size_t window_cost_ = 0; ///< memory for a larger receive window
    std::optional<body_decoder> decoder_;
    std::uint64_t body_length_ = 0; ///< of a body with a length that is being read, else 0
    std::weak_ptr<inbound_exchange> exchange_;
    timer timer_;
    pause_reason pause_ = pause_reason::none;
    instant paused_at_{};
    instant idle_since_{};
    instant body_start_{};
    instant progress_time_{};
    std::size_t progress_bytes_ = 0;     ///< since `progress_time_`
    std::size_t unwritten_at_timer_ = 0; ///< when the timer was armed
    bool is_refused_ = false;            ///< accepted only to be refused with an answer
    bool is_closing_ = false;            ///< after the last response
    bool is_incomplete_ = false;         ///< the last response ends without its terminator
    bool is_reading_ = false;
};

} // namespace almondcart::http1
