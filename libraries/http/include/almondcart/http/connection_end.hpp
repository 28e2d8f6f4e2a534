#pragma once

namespace almondcart {

/// Whether the peer has reset the TCP connection of socket `fd`, or the connection has timed out.
/// To be asked when a read reports the end: the kernel reports an error once, so after a failed
/// write a read reports the end of a reset connection as if the peer had closed it.
bool is_reset(int fd);

} // namespace almondcart
