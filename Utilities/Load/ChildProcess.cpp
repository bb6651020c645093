#include "Load/ChildProcess.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>

#include <csignal>
#include <system_error>
#include <thread>

extern char** environ;

namespace Knapweedquay::Load {

namespace {

constexpr std::chrono::milliseconds pollInterval { 5 };
/// Added to the number of a signal that ended a process, as shells do.
constexpr int signalExitCodeBase = 128;

int decodeStatus(int status)
{
    return WIFEXITED(status) ? WEXITSTATUS(status) : signalExitCodeBase + WTERMSIG(status);
}

/// Spawn attributes of a child: output appended to a file, and no signals blocked, whatever its parent blocks.
class SpawnSetup {
public:
    explicit SpawnSetup(const std::string& file)
    {
        sigset_t noSignals;
        sigemptyset(&noSignals);
        posix_spawnattr_init(&m_attributes);
        posix_spawnattr_setsigmask(&m_attributes, &noSignals);
        posix_spawnattr_setflags(&m_attributes, POSIX_SPAWN_SETSIGMASK);
        constexpr int permissions = 0644;
        posix_spawn_file_actions_init(&m_actions);
        posix_spawn_file_actions_addopen(&m_actions, STDOUT_FILENO, file.c_str(), O_WRONLY | O_CREAT | O_APPEND, permissions);
        posix_spawn_file_actions_adddup2(&m_actions, STDOUT_FILENO, STDERR_FILENO);
    }
    ~SpawnSetup()
    {
        posix_spawn_file_actions_destroy(&m_actions);
        posix_spawnattr_destroy(&m_attributes);
    }
    SpawnSetup(const SpawnSetup&) = delete;
    SpawnSetup& operator=(const SpawnSetup&) = delete;

    const posix_spawn_file_actions_t* actions() const { return &m_actions; }
    const posix_spawnattr_t* attributes() const { return &m_attributes; }

private:
    posix_spawn_file_actions_t m_actions;
    posix_spawnattr_t m_attributes;
};

} // namespace

ChildProcess::ChildProcess(const std::vector<std::string>& command, const std::string& outputFile)
{
    std::vector<char*> arguments;
    arguments.reserve(command.size() + 1);
    for (const std::string& argument : command)
        arguments.push_back(const_cast<char*>(argument.c_str()));
    arguments.push_back(nullptr);
    const SpawnSetup setup(outputFile);
    const int error = posix_spawn(&m_pid, arguments.front(), setup.actions(), setup.attributes(), arguments.data(), environ);
    if (error != 0)
        throw std::system_error(error, std::generic_category(), command.front());
}

ChildProcess::~ChildProcess()
{
    kill();
}

bool ChildProcess::isRunning()
{
    return !exitCode();
}

void ChildProcess::signal(int number) const
{
    if (!m_exitCode)
        ::kill(m_pid, number);
}

void ChildProcess::kill()
{
    if (m_exitCode)
        return;
    signal(SIGKILL);
    int status = 0;
    if (waitpid(m_pid, &status, 0) == m_pid)
        m_exitCode = decodeStatus(status);
}

bool ChildProcess::terminate(std::chrono::milliseconds timeout)
{
    signal(SIGTERM);
    const auto end = std::chrono::steady_clock::now() + timeout;
    while (isRunning() && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(pollInterval);
    if (!isRunning())
        return true;
    kill();
    return false;
}

std::optional<int> ChildProcess::exitCode()
{
    int status = 0;
    if (!m_exitCode && waitpid(m_pid, &status, WNOHANG) == m_pid)
        m_exitCode = decodeStatus(status);
    return m_exitCode;
}

} // namespace Knapweedquay::Load
