#include "load_board.hpp"

#include <almondcart/forwarding/load_message.hpp>

namespace almondcart {

using forwarding::load_message;
using forwarding::load_message_kind;

load_board::load_board(event_loop& loop)
    : loop_(loop)
    , queue_([&loop] { return loop.now(); })
{}

absl::Status load_board::open(std::string const& address)
{
    auto socket = datagram_socket::create(
        loop_,
        address,
        [this](std::string_view data, socket_address const& sender) { receive(data, sender); });
    if (!socket.ok())
        return socket.status();
    socket_ = *std::move(socket);
    return absl::OkStatus();
}

void load_board::receive(std::string_view data, socket_address const& sender)
{
    auto const message = load_message::decode(data);
    if (!message)
        return;
    switch (message->kind)
    {
    case load_message_kind::query:
        socket_->send(
            load_message::answer(message->number, queue_.load_for(message->prompt)).encode(),
            sender);
        return;
    case load_message_kind::announce:
        queue_.announce(message->request, message->prompt);
        return;
    case load_message_kind::prompt_read:
        queue_.record_prompt_read(message->request);
        return;
    case load_message_kind::end:
        queue_.record_end(message->request);
        return;
    case load_message_kind::answer:
        return;
    }
}

} // namespace almondcart
