#include "child_process.hpp"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <utility>

#include "expect.hpp"

namespace almondcart::test_support {

namespace {

constexpr int output_file_mode = 0600;

} // namespace

child_process::child_process(
    std::vector<std::string> const& command,
    std::string const& output_file)
{
    std::vector<char*> arguments;
    for (auto const& it : command)
        arguments.push_back(const_cast<char*>(it.c_str()));
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
        &actions,
        STDOUT_FILENO,
        output_file.c_str(),
        O_WRONLY | O_CREAT | O_APPEND,
        output_file_mode);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    auto const error =
        ::posix_spawn(&id_, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    expect(error == 0, "start of " + command[0]);
}

child_process::child_process(child_process&& other) noexcept
    : id_(std::exchange(other.id_, -1))
{}

child_process::~child_process()
{
    if (id_ < 0)
        return;
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
}

void child_process::send_signal(int signal) const
{
    if (id_ >= 0)
        ::kill(id_, signal);
}

int child_process::wait()
{
    std::optional<int> result;
    wait_until(
        "a process ends",
        [&]
        {
            result = try_wait();
            return result.has_value();
        });
    return *result;
}

std::optional<int> child_process::try_wait()
{
    int state = 0;
    if (id_ < 0 || ::waitpid(id_, &state, WNOHANG) != id_)
        return std::nullopt;
    id_ = -1;
    return WIFEXITED(state) ? WEXITSTATUS(state) : -WTERMSIG(state);
}

} // namespace almondcart::test_support
