#pragma once

#include <sys/types.h>
#include <unistd.h>

#include <fstream>
#include <string>

namespace almondcart::test_support {

/// Largest resident memory of a process so far, in kB, or 0 if it has ended.
inline long peak_memory_kb(pid_t process = getpid())
{
    std::ifstream file("/proc/" + std::to_string(process) + "/status");
    std::string word;
    while (file >> word && word != "VmHWM:")
    {}
    long kb = 0;
    file >> kb;
    return kb;
}

} // namespace almondcart::test_support
