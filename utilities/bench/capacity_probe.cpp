#include "capacity_probe.hpp"

#include <malloc.h>
#include <sys/sysinfo.h>

#include <ctime>
#include <thread>

namespace almondcart::bench {

std::int64_t allocated_bytes()
{
    auto const info = mallinfo2();
    return std::int64_t(info.uordblks) + std::int64_t(info.hblkhd);
}

std::int64_t thread_cpu_ns()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::int64_t(time.tv_sec) * 1'000'000'000 + time.tv_nsec;
}

Json::Value machine_json()
{
    struct sysinfo info
    {};
    sysinfo(&info);
    Json::Value value;
    value["cores"] = std::thread::hardware_concurrency();
    value["memory_bytes"] = Json::UInt64(info.totalram) * info.mem_unit;
    return value;
}

} // namespace almondcart::bench
