#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

/// A child process whose standard output and error go to a file; the destructor kills it if it still runs.
class ChildProcess {
public:
    /// Throws std::system_error when the program cannot be started.
    ChildProcess(const std::vector<std::string>& command, const std::string& outputFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    pid_t pid() const { return m_pid; }
    bool isRunning();
    /// Sends a signal; does nothing once the process has ended.
    void signal(int number) const;
    /// Kills the process with SIGKILL, like a crash, and waits for its end.
    void kill();
    /// Sends SIGTERM and waits for the end; kills the process after the timeout and returns false.
    bool terminate(std::chrono::milliseconds timeout);
    /// Exit code, or 128 plus the number of the signal that ended the process; unset while it runs.
    std::optional<int> exitCode();

private:
    pid_t m_pid = 0;
    std::optional<int> m_exitCode;
};

} // namespace Knapweedquay::Load
