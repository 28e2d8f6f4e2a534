#include <criterion/criterion.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cstdlib>
#include <set>
#include <string>

#include "support/tcp.hpp"

using namespace almondcart::test_support;

namespace {

constexpr std::size_t ports_per_runner = 32;
using port_list = std::array<int, ports_per_runner>;

port_list choose_ports()
{
    port_list ports{};
    for (auto& port : ports)
    {
        auto const address = find_free_address();
        port = std::stoi(address.substr(address.find(':') + 1));
    }
    return ports;
}

} // namespace

// Two runners that start at the same time look for ports in the same range, and their servers start
// later. Guards against both taking the same port.
Test(free_ports, runners_at_the_same_time_take_different_ports)
{
    // A forked runner continues at the port of its parent, so both look at the same ones.
    find_free_address();
    std::array<int, 2> results{};
    std::array<int, 2> release{};
    cr_assert_eq(::pipe(results.data()), 0);
    cr_assert_eq(::pipe(release.data()), 0);
    auto const other = ::fork();
    cr_assert_geq(other, 0);
    if (other == 0)
    {
        auto const ports = choose_ports();
        bool const is_written = ::write(results[1], ports.data(), sizeof ports) == sizeof ports;
        ::close(release[1]);
        // Keeps its ports until the other runner has chosen.
        char end = 0;
        static_cast<void>(::read(release[0], &end, 1) == 0);
        ::_exit(is_written ? EXIT_SUCCESS : EXIT_FAILURE);
    }
    auto const ports = choose_ports();
    port_list others{};
    cr_assert_eq(::read(results[0], others.data(), sizeof others), sizeof others);
    ::close(release[1]);
    int state = 0;
    cr_assert_eq(::waitpid(other, &state, 0), other);
    cr_assert(WIFEXITED(state) && WEXITSTATUS(state) == EXIT_SUCCESS);
    std::set<int> distinct(ports.begin(), ports.end());
    distinct.insert(others.begin(), others.end());
    cr_assert_eq(distinct.size(), 2 * ports_per_runner);
}
