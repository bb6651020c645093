#include "StoreBench/BenchReplica.h"

#include <asio/post.hpp>

#include <chrono>
#include <cstdlib>
#include <iostream>

namespace Knapweedquay {

TimePoint benchNow()
{
    return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now().time_since_epoch()));
}

BenchReplica::BenchReplica(ControlServiceSettings settings, SendHook send)
{
    ControlServiceHooks hooks;
    hooks.send = [send = std::move(send)](const std::string& address, const ReplicaMessage& message) { send(address, encodeReplicaMessage(message)); };
    hooks.runStorageJob = [this](std::function<Result<void>()> job, std::function<void(Result<void>, TimePoint)> done) {
        asio::post(m_storageThread, [this, job = std::move(job), done = std::move(done)] {
            post([done, result = job()](ControlService&, TimePoint now) { done(result, now); });
        });
    };
    hooks.stopped = [](const Error& error) {
        std::cerr << "replica stopped: " << error.detail << '\n';
        std::exit(EXIT_FAILURE);
    };
    auto opened = ControlService::open(std::move(settings), m_files, std::move(hooks), benchNow());
    if (opened.has_error()) {
        std::cerr << "cannot start the replica of the store: " << opened.error().detail << '\n';
        std::exit(EXIT_FAILURE);
    }
    m_service = std::move(opened.value());
}

BenchReplica::~BenchReplica()
{
    stop();
}

void BenchReplica::start()
{
    m_thread = std::thread([this] { run(); });
}

void BenchReplica::stop()
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_isStopping = true;
    }
    m_wake.notify_one();
    if (m_thread.joinable())
        m_thread.join();
    m_storageThread.join();
}

void BenchReplica::post(Task task)
{
    {
        const std::lock_guard<std::mutex> lock(m_mutex);
        m_tasks.push_back(std::move(task));
    }
    m_wake.notify_one();
}

void BenchReplica::deliver(std::string bytes)
{
    post([bytes = std::move(bytes)](ControlService& service, TimePoint now) {
        const auto message = decodeReplicaMessage(bytes);
        if (message.has_value())
            service.receive(message.value(), now);
    });
}

void BenchReplica::run()
{
    constexpr std::chrono::milliseconds tickInterval { 10 };
    while (true) {
        std::vector<Task> tasks;
        {
            std::unique_lock<std::mutex> lock(m_mutex);
            m_wake.wait_for(lock, tickInterval, [this] { return m_isStopping || !m_tasks.empty(); });
            if (m_isStopping)
                return;
            tasks.swap(m_tasks);
        }
        for (const Task& task : tasks)
            task(*m_service, benchNow());
        m_service->tick(benchNow());
        m_service->flush(benchNow());
    }
}

} // namespace Knapweedquay
