#pragma once

#include <cstddef>
#include <cstdlib>
#include <memory>
#include <string_view>

namespace almondcart::http1 {

/// Bytes of a body. It grows in steps that are known beforehand, so that their memory can be taken
/// from an account first. A large one grows by `realloc`, which moves its pages and copies nothing.
class body_buffer
{
public:
    /// Capacity that a buffer takes to hold `bytes`.
    static std::size_t capacity_for(std::size_t bytes);

    std::string_view view() const { return {data_.get(), size_}; }
    std::size_t size() const { return size_; }
    std::size_t capacity() const { return capacity_; }

    /// Makes room for `bytes` in all. Throws `std::bad_alloc`.
    void reserve(std::size_t bytes);
    void append(std::string_view data);

private:
    struct deleter
    {
        void operator()(char* it) const { std::free(it); }
    };

    std::unique_ptr<char, deleter> data_;
    std::size_t size_ = 0;
    std::size_t capacity_ = 0;
};

} // namespace almondcart::http1
