#include <algorithm>
#include <utility>

#include "inbound_connection.hpp"

// What a connection may read, and when it waits or is refused for want of memory.

namespace almondcart::http1 {

namespace {

/// Bytes that are read of requests behind the one that is being answered. Reading them also shows
/// when the client leaves.
constexpr std::size_t pipelined_bytes = 4096;

/// Receive window for bodies of more than one window, in the kernel.
constexpr std::size_t body_window_bytes = std::size_t{64} * 1024;

/// Time that a request waits for memory before it is refused.
constexpr duration memory_wait{500};

/// A connection has stalled if fewer bytes than this came in that time.
constexpr std::size_t stall_bytes = 4096;
constexpr duration stall_time{1000};

constexpr int request_timeout = 408;
constexpr int service_unavailable = 503;

} // namespace

std::size_t inbound_connection::read_limit()
{
    if (is_closing_)
        return read_piece_bytes; // dropped
    auto const header_limit = limits().header_bytes;
    if (phase_ == phase::response || (phase_ == phase::head && unwritten_bytes() > 0))
    {
        auto const n = input_room(std::min(pipelined_bytes, header_limit));
        return n > 0 ? n : pause(pause_reason::answer);
    }
    // In a body, input that is left waits for memory.
    auto const n = phase_ == phase::head ? input_room(header_limit + 1)
                   : input_.empty()      ? body_room()
                                         : 0;
    return n > 0 ? n : pause(pause_reason::memory);
}

std::size_t inbound_connection::input_room(std::size_t limit)
{
    if (input_.size() >= limit)
        return 0;
    auto const wanted = std::min(limit, std::max(own_input_bytes, input_.size() * 2));
    if (wanted > input_.capacity())
    {
        auto const total = wanted + (account_.bytes() - std::min(account_.bytes(), input_.size()));
        if (wanted > own_input_bytes && !account_.allows(total))
            return 0;
        input_.reserve(wanted);
        update_account();
    }
    return std::min(limit, std::max(wanted, input_.capacity())) - input_.size();
}

std::size_t inbound_connection::body_room()
{
    auto const& body = incoming_->body_;
    // A body of unknown length grows step by step.
    auto wanted = std::min(read_piece_bytes, std::max(own_input_bytes, body.size()));
    if (body_length_ > 0)
        wanted = std::min<std::size_t>(read_piece_bytes, body_length_ - body.size());
    for (auto const n : {wanted, std::min(wanted, own_input_bytes)})
    {
        if (reserve_body(n))
            return n;
    }
    return 0;
}

bool inbound_connection::reserve_body(std::size_t bytes)
{
    auto& body = incoming_->body_;
    auto& account = *incoming_->body_account_;
    auto const needed = body.size() + bytes;
    if (needed <= body.capacity() && account.bytes() > 0)
        return true;
    // A body of known length takes its memory as a whole, so that many at once do not all stop
    // halfway.
    auto const total = head_cost_ + window_cost_ +
                       body_buffer::capacity_for(std::max<std::size_t>(needed, body_length_));
    if (total > account.bytes() && !account.allows(total))
        return false;
    account.resize(total);
    body.reserve(needed);
    widen_window(needed);
    return true;
}

void inbound_connection::widen_window(std::size_t needed)
{
    if (window_cost_ > 0 || needed <= inbound_receive_bytes)
        return;
    auto const window = body_length_ > 0 ? std::min<std::size_t>(body_window_bytes, body_length_)
                                         : body_window_bytes;
    // Counted as soon as the kernel may fill it.
    auto& account = *incoming_->body_account_;
    if (!account.allows(account.bytes() + window))
        return;
    window_cost_ = window;
    account.resize(account.bytes() + window);
    stream_->set_receive_window(static_cast<int>(window));
}

void inbound_connection::narrow_window()
{
    if (window_cost_ == 0)
        return;
    auto& account = *incoming_->body_account_;
    account.resize(account.bytes() - std::exchange(window_cost_, 0));
    stream_->set_receive_window(inbound_receive_bytes);
}

std::size_t inbound_connection::pause(pause_reason reason)
{
    auto const server = server_.lock();
    if (!server || stream_ == nullptr)
        return 0;
    stream_->pause_reading();
    if (pause_ != reason)
        paused_at_ = loop_.now();
    pause_ = reason;
    server->paused.insert(this);
    return 0;
}

void inbound_connection::resume()
{
    if (stream_ != nullptr)
        stream_->resume_reading();
}

void inbound_connection::check_pause(instant now)
{
    auto const self = shared_from_this();
    if (stream_ == nullptr || is_closing_)
        return;
    if (stream_->is_ended_by_peer())
    {
        close();
        return;
    }
    if (pause_ != pause_reason::memory)
        return;
    if (now - paused_at_ >= memory_wait)
    {
        refuse_for(client_limit::memory);
        return;
    }
    read_requests();
    if (stream_ != nullptr && !is_closing_ && pause_ == pause_reason::memory && read_limit() > 0)
    {
        // The time of the pause does not count against the client.
        body_start_ = body_start_ + (now - paused_at_);
        progress_time_ = now;
        pause_ = pause_reason::none;
        if (auto const server = server_.lock())
            server->paused.erase(this);
        resume();
    }
}

std::size_t inbound_connection::held_bytes() const
{
    auto const* account = incoming_ ? incoming_->body_account_.get() : nullptr;
    return account_.bytes() + (account != nullptr ? account->bytes() : 0);
}

bool inbound_connection::is_stalled(instant now) const
{
    return incoming_ != nullptr && !is_closing_ && pause_ == pause_reason::none &&
           now - progress_time_ >= stall_time;
}

bool inbound_connection::is_long_idle(instant now) const
{
    return is_idle() && now - idle_since_ >= stall_time;
}

void inbound_connection::close_for(client_limit limit)
{
    if (auto const server = server_.lock())
        server->note(limit, peer_);
    close();
}

void inbound_connection::refuse_for(client_limit limit)
{
    if (auto const server = server_.lock())
        server->note(limit, peer_);
    reject(limit == client_limit::body_time ? request_timeout : service_unavailable);
}

void inbound_connection::note_progress(std::size_t bytes)
{
    progress_bytes_ += bytes;
    if (progress_bytes_ < stall_bytes)
        return;
    progress_bytes_ = 0;
    progress_time_ = loop_.now();
}

} // namespace almondcart::http1
