#include "expect.hpp"

#include <chrono>
#include <stdexcept>
#include <thread>

namespace almondcart::test_support {

namespace {

constexpr std::chrono::seconds wait_limit{30};
constexpr std::chrono::milliseconds poll_interval{20};

} // namespace

void expect(bool is_met, std::string const& what)
{
    if (!is_met)
        throw std::runtime_error("expected: " + what);
}

void wait_until(std::string const& what, std::function<bool()> const& is_met)
{
    auto const give_up_at = std::chrono::steady_clock::now() + wait_limit;
    while (!is_met())
    {
        expect(std::chrono::steady_clock::now() < give_up_at, "within 30 s: " + what);
        std::this_thread::sleep_for(poll_interval);
    }
}

} // namespace almondcart::test_support
