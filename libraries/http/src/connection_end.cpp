#include <almondcart/http/connection_end.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace almondcart {

bool is_reset(int fd)
{
    tcp_info information{};
    socklen_t size = sizeof(information);
    // After an orderly end the state is TCP_CLOSE_WAIT, as this side has not closed yet.
    return getsockopt(fd, IPPROTO_TCP, TCP_INFO, &information, &size) == 0 &&
           information.tcpi_state == TCP_CLOSE;
}

} // namespace almondcart
