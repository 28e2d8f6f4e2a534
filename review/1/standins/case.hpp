#pragma once

#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <string>

#include "client.hpp"
#include "deployment.hpp"

namespace review {

enum class verdict
{
    held = 0,
    broken = 1,
    not_run = 2,
};

/// Whether the disruption of the case takes place; the environment variable TROUBLE=0 leaves it
/// out.
inline bool has_trouble()
{
    auto const* value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

/// A case that takes longer counts as not run.
constexpr unsigned time_limit_s = 110;

/// Runs a case and ends the process with its verdict. `run` takes the recorder.
template<typename Run>
[[noreturn]] void run_case(int argc, char** argv, Run const& run)
{
    if (argc != 2)
    {
        std::fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
        std::_Exit(static_cast<int>(verdict::not_run));
    }
    std::signal(SIGPIPE, SIG_IGN);
    std::signal(SIGALRM, [](int) { _exit(static_cast<int>(verdict::not_run)); });
    alarm(time_limit_s);
    auto* const record = new recorder(std::string(argv[1]) + "/record.txt");
    record->line("disruption: %s", has_trouble() ? "yes" : "no");
    auto const result = run(*record);
    if (current_deployment() != nullptr)
        current_deployment()->stop();
    static char const* const names[] = {
        "the rule held", "the rule was broken", "the case did not run"};
    record->line("verdict: %s", names[static_cast<int>(result)]);
    std::printf("%s\n", names[static_cast<int>(result)]);
    std::fflush(nullptr);
    // Threads of the stand-ins are still running.
    std::_Exit(static_cast<int>(result));
}

} // namespace review
