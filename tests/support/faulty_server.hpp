#pragma once

#include <almondcart/http/event_loop.hpp>
#include <almondcart/http/socket_address.hpp>

#include <fcntl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <utility>

namespace almondcart::test_support {

/// Server whose responses do not end as they should. It reads the first bytes of a request on each
/// connection and nothing after them, so that a long upload stays in its sender.
class faulty_server
{
public:
    struct reply
    {
        std::string begin;

        /// Sent again and again until the peer closes the connection. If it is empty, the
        /// connection is reset some time after `begin`.
        std::string repeated;
    };

    /// Returns the reply to a request, of which `beginning` has arrived.
    using script = std::function<reply(std::string const& beginning)>;

    faulty_server(event_loop& loop, script script)
        : loop_(loop)
        , script_(std::move(script))
        , listener_(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    {
        auto any = *socket_address::parse("127.0.0.1:0");
        int const small_buffer = 4096;
        setsockopt(listener_, SOL_SOCKET, SO_RCVBUF, &small_buffer, sizeof(small_buffer));
        bind(listener_, any.native(), any.size());
        listen(listener_, SOMAXCONN);
        watch_ = loop_.watch(listener_, [this] { accept(); });
    }

    ~faulty_server() { loop_.unwatch(watch_); }
    faulty_server(faulty_server const&) = delete;
    faulty_server& operator=(faulty_server const&) = delete;

    std::string address() const { return socket_address::of_socket(listener_).to_text(); }

private:
    /// Long enough for the peer to read what was sent before the reset.
    static constexpr duration reset_delay{100};
    static constexpr duration send_interval{1};

    /// Limits how long one round of sending keeps the loop.
    static constexpr int sends_per_round = 64;

    void accept()
    {
        int const fd = accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0)
            return;
        auto const watch = std::make_shared<st_h2o_socket_t*>();
        *watch = loop_.watch(
            fd,
            [this, fd, watch]
            {
                constexpr std::size_t beginning_bytes = 4096;
                std::string beginning(beginning_bytes, '\0');
                auto const n = recv(fd, beginning.data(), beginning.size(), 0);
                beginning.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
                // The loop closes what it has watched.
                int const kept = fcntl(fd, F_DUPFD_CLOEXEC, 0);
                loop_.unwatch(*watch);
                answer(kept, script_(beginning));
            });
    }

    void answer(int fd, reply const& reply)
    {
        send(fd, reply.begin.data(), reply.begin.size(), MSG_NOSIGNAL);
        if (!reply.repeated.empty())
        {
            send_repeatedly(fd, reply.repeated);
            return;
        }
        loop_.after(
            reset_delay,
            [fd]
            {
                linger const none{.l_onoff = 1, .l_linger = 0};
                setsockopt(fd, SOL_SOCKET, SO_LINGER, &none, sizeof(none));
                close(fd);
            });
    }

    void send_repeatedly(int fd, std::string const& part)
    {
        auto const repeat = std::make_shared<timer>();
        *repeat = loop_.every(
            send_interval,
            [fd, part, repeat, sent = std::size_t{0}]() mutable
            {
                for (int i = 0; i < sends_per_round; ++i)
                {
                    auto const n = send(fd, part.data() + sent, part.size() - sent, MSG_NOSIGNAL);
                    if (n >= 0)
                        sent = (sent + static_cast<std::size_t>(n)) % part.size();
                    else if (errno == EAGAIN)
                        return;
                    else
                    {
                        close(fd);
                        repeat->cancel();
                        return;
                    }
                }
            });
    }

    event_loop& loop_;
    script script_;
    int listener_; ///< owned by the loop
    st_h2o_socket_t* watch_ = nullptr;
};

} // namespace almondcart::test_support
