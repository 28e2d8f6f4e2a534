#pragma once

#include <functional>
#include <string>

namespace almondcart::test_support {

/// Throws if a check fails. An exception runs the destructors, which stop the fleet's processes.
void expect(bool is_met, std::string const& what);

/// Polls a condition and throws if it is not met within a time limit that only a fault exceeds.
void wait_until(std::string const& what, std::function<bool()> const& is_met);

} // namespace almondcart::test_support
