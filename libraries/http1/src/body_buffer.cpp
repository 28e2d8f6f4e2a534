#include <almondcart/http1/body_buffer.hpp>

#include <bit>
#include <cstring>
#include <new>

namespace almondcart::http1 {

namespace {

constexpr std::size_t smallest_capacity = 256;

/// Up to this size capacities double; larger ones are multiples of it. From here on the C library
/// maps each buffer by itself (see the gateway's `main`), so that growing it copies nothing.
constexpr std::size_t large_step = std::size_t{64} * 1024;

} // namespace

std::size_t body_buffer::capacity_for(std::size_t bytes)
{
    if (bytes == 0)
        return 0;
    if (bytes <= large_step)
        return bytes <= smallest_capacity ? smallest_capacity : std::bit_ceil(bytes);
    return (bytes + large_step - 1) / large_step * large_step;
}

void body_buffer::reserve(std::size_t bytes)
{
    auto const wanted = capacity_for(bytes);
    if (wanted <= capacity_)
        return;
    auto* const grown = static_cast<char*>(std::realloc(data_.get(), wanted));
    if (grown == nullptr)
        throw std::bad_alloc();
    static_cast<void>(data_.release());
    data_.reset(grown);
    capacity_ = wanted;
}

void body_buffer::append(std::string_view data)
{
    if (data.empty())
        return;
    reserve(size_ + data.size());
    std::memcpy(data_.get() + size_, data.data(), data.size());
    size_ += data.size();
}

} // namespace almondcart::http1
