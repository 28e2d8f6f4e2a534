#pragma once

#include <almondcart/core/instant.hpp>

#include <cstddef>

namespace almondcart {

/// Sets up the C library's heap so that memory of freed buffers returns to the system. Must be
/// called before large buffers exist.
void set_up_heap();

/// Returns freed memory to the system after the buffers of a process have shrunk.
class heap_release
{
public:
    void tick(instant now, std::size_t buffered_bytes);

private:
    std::size_t highest_bytes_ = 0; ///< since the last release
    instant next_{};
};

} // namespace almondcart
