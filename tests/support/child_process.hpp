#pragma once

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace almondcart::test_support {

/// Process started by the test runner; it is killed on destruction.
class child_process
{
public:
    /// Standard output and error go to `output_file`.
    child_process(std::vector<std::string> const& command, std::string const& output_file);
    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&&) = delete;
    ~child_process();

    pid_t id() const { return id_; }
    void send_signal(int signal) const;
    /// Waits for the process to end. Returns its exit code, or the negated number of the signal
    /// that ended it.
    int wait();

    /// As `wait`, but returns nothing at once if the process is still running.
    std::optional<int> try_wait();

private:
    pid_t id_ = -1;
};

} // namespace almondcart::test_support
