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

/// One replica of the store on a thread and a data folder of its own; messages go through memory.
class BenchReplica {
public:
    using SendHook = std::function<void(const std::string& address, std::string bytes)>;
    using Task = std::function<void(ControlService&, TimePoint)>;

    BenchReplica(ControlServiceSettings, SendHook);
    ~BenchReplica();
    BenchReplica(const BenchReplica&) = delete;
    BenchReplica& operator=(const BenchReplica&) = delete;

    void start();
    void stop();
    /// Runs the task on the replica's thread; tasks that wait together share one flush.
    void post(Task);
    /// Hands an encoded replica message to the replica.
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

TimePoint benchNow();

} // namespace Knapweedquay
