#pragma once

#include <json/json.h>

#include <cstdint>

namespace almondcart::bench {

/// Number of bytes that this process has allocated on the heap.
std::int64_t allocated_bytes();

/// CPU time of the calling thread in nanoseconds.
std::int64_t thread_cpu_ns();

/// Describes the cores and memory of the machine.
Json::Value machine_json();

/// Measures heap growth and CPU time since construction.
class capacity_probe
{
public:
    capacity_probe()
        : bytes_(allocated_bytes())
        , cpu_ns_(thread_cpu_ns())
    {}

    std::int64_t bytes() const { return allocated_bytes() - bytes_; }
    std::int64_t cpu_ns() const { return thread_cpu_ns() - cpu_ns_; }

private:
    std::int64_t bytes_;
    std::int64_t cpu_ns_;
};

} // namespace almondcart::bench
