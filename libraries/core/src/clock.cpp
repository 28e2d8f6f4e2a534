#include <almondcart/core/clock.hpp>

#include <ctime>

namespace almondcart {

namespace {

std::int64_t read_clock_ms(clockid_t id)
{
    constexpr std::int64_t milliseconds_per_second = 1000;
    constexpr std::int64_t nanoseconds_per_millisecond = 1'000'000;
    timespec value{};
    clock_gettime(id, &value);
    return value.tv_sec * milliseconds_per_second + value.tv_nsec / nanoseconds_per_millisecond;
}

} // namespace

instant system_clock_source::now()
{
    return {duration(read_clock_ms(CLOCK_BOOTTIME))};
}

std::int64_t system_clock_source::wall_time_ms()
{
    return read_clock_ms(CLOCK_REALTIME);
}

clock_function system_clock_source::create()
{
    return &system_clock_source::now;
}

} // namespace almondcart
