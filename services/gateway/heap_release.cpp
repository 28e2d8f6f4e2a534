#include "heap_release.hpp"

#include <malloc.h>

#include <algorithm>

namespace almondcart {

namespace {

/// From this size on each allocation has pages of its own. Without a fixed value glibc raises it to
/// the largest buffer that was freed, and keeps the memory of all smaller ones.
constexpr int mapped_bytes = 64 * 1024;

constexpr std::size_t worthwhile_bytes = std::size_t{1} * 1024 * 1024;
constexpr duration release_interval{1000};

} // namespace

void set_up_heap()
{
    mallopt(M_MMAP_THRESHOLD, mapped_bytes);
    mallopt(M_TRIM_THRESHOLD, 2 * mapped_bytes);
}

void heap_release::tick(instant now, std::size_t buffered_bytes)
{
    highest_bytes_ = std::max(highest_bytes_, buffered_bytes);
    if (now < next_ || highest_bytes_ - buffered_bytes < worthwhile_bytes)
        return;
    malloc_trim(0);
    highest_bytes_ = buffered_bytes;
    next_ = now + release_interval;
}

} // namespace almondcart
