#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

/// A process that this one started, with its output in a file; it ends at the latest with this object.
class ChildProcess {
public:
    /// Throws std::system_error when the program cannot be started.
    ChildProcess(const std::vector<std::string>& command, const std::string& outputFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    pid_t pid() const { return m_pid; }
    bool isRunning();
    void signal(int number) const;
    /// Ends it at once, as a crash would.
    void kill();
    /// Asks it to end; false when it had to be killed after the patience.
    bool terminate(std::chrono::milliseconds patience);
    /// Exit code; 128 plus the signal when one ended it, and nothing while it runs.
    std::optional<int> exitCode();

private:
    pid_t m_pid = 0;
    std::optional<int> m_exitCode;
};

} // namespace Knapweedquay::Load
