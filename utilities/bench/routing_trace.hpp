#pragma once

#include <almondcart/core/instant.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace almondcart {

inline constexpr int bench_upstreams = 12;
inline constexpr int bench_slots = 8;
inline constexpr int bench_routers = 4;
inline constexpr int bench_priorities = 3;

/// Kind of work in the traces, with its share of the requests.
struct bench_kind
{
    char const* name;
    int priority;
    duration deadline;
    int output_tokens; ///< mean
    double share;      ///< of the requests
};

/// These shares make the highest priority a third of the work, so that it fits into the capacity at
/// 1.5 times the load.
inline constexpr bench_kind bench_kinds[bench_priorities] = {
    {"guidance", 0, duration{1300}, 60, 0.60},
    {"summary", 1, duration{5000}, 150, 0.25},
    {"batch", 2, duration{30'000}, 250, 0.15},
};

/// Request of a trace.
struct bench_request
{
    std::uint64_t id = 0;
    instant arrival;
    int router = 0;
    int kind = 0;
    std::string account;
    int prefix_group = 0; ///< requests of one group share a prompt prefix
    int prefix_tokens = 0;
    int tail_tokens = 0;
    int output_tokens = 0;

    /// Returns the leading part of the prompt, which determines the affinity key.
    std::string prompt() const { return "prefix group " + std::to_string(prefix_group); }
};

/// Request rate per second that keeps the slots of all upstreams just busy.
double bench_capacity_per_s();

std::vector<bench_request> create_trace(std::uint64_t seed, double load, duration length);

} // namespace almondcart
