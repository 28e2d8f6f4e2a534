#pragma once

#include <cstdarg>
#include <cstdio>
#include <mutex>
#include <string>

#include "net.hpp"

namespace review {

/// Writes what was sent, answered and run to the record of a case, with times in milliseconds.
class recorder
{
public:
    explicit recorder(std::string const& file)
        : file_(std::fopen(file.c_str(), "w"))
    {}
    ~recorder() { std::fclose(file_); }
    recorder(recorder const&) = delete;
    recorder& operator=(recorder const&) = delete;

    __attribute__((format(printf, 2, 3))) void line(char const* format, ...)
    {
        std::lock_guard const lock(mutex_);
        std::fprintf(file_, "%7lld ", static_cast<long long>(now_ms()));
        va_list arguments;
        va_start(arguments, format);
        std::vfprintf(file_, format, arguments);
        va_end(arguments);
        std::fputc('\n', file_);
        std::fflush(file_);
    }

private:
    std::mutex mutex_;
    std::FILE* file_;
};

} // namespace review
