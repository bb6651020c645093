#pragma once

#include "state/ControlService.h"
#include "transport/PosixFileSystem.h"

#include <asio/thread_pool.hpp>

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace Knapweedquay {

/// A replica of the control store with its own thread and data folder; messages are passed in memory.
class BenchReplica {
public:
    /// Sends an encoded message to the replica with the given address.
    using SendHook = std::function<void(const std::string& address, std::string bytes)>;
    /// Called on the replica's thread with its service and the current time.
    using Task = std::function<void(ControlService&, TimePoint)>;

    BenchReplica(ControlServiceSettings, SendHook);
    ~BenchReplica();
    BenchReplica(const BenchReplica&) = delete;
    BenchReplica& operator=(const BenchReplica&) = delete;

    void start();
    /// Stops the replica once its current tasks and all storage jobs have ended; queued tasks are dropped.
    void stop();
    /// Runs a task on the replica's thread; queued tasks that run together share one flush.
    void post(Task);
    /// Passes an encoded message of another replica to this one.
    void deliver(std::string bytes);

private:
    void run();

    std::unique_ptr<ControlService> m_service;
    PosixFileSystem m_files;
    std::mutex m_mutex;
    std::condition_variable m_wake;
    std::vector<Task> m_tasks;
    bool m_isStopping = false;
    std::thread m_thread;
    asio::thread_pool m_storageThread { 1 };
};

/// Current time of the steady clock.
TimePoint benchNow();

} // namespace Knapweedquay
