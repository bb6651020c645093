#pragma once

#include "Load/CallClassResult.h"
#include "Load/HttpClient.h"

#include <asio/steady_timer.hpp>

#include <random>
#include <vector>

namespace Knapweedquay::Load {

struct LoadOptions {
    /// Addresses that calls are spread over, "IP:port".
    std::vector<std::string> addresses;
    std::vector<CallClass> classes;
    std::chrono::milliseconds duration { 10000 };
    std::uint64_t seed = 1;
    /// Start of every request id; runs that share record files need different ones.
    std::string runName = "run";
    /// True when the addresses are backend servers, whose answers carry no outcome.
    bool isDirect = false;
    std::vector<std::string> recordFiles;
};

/// Sends calls open loop: each class by its own seeded Poisson process, whatever the answers do.
class LoadGenerator {
public:
    LoadGenerator(asio::io_context&, LoadOptions);
    ~LoadGenerator();

    /// Sends for the set duration, and returns when every call has its end.
    void run();
    /// Checks the calls against the records of the stand-ins; call it after the run.
    void checkRecords();
    std::vector<CallClassResult> results() const;

private:
    using Clock = std::chrono::steady_clock;
    struct Stream;
    struct SentCall;

    bool isFinished() const;
    void scheduleNext(Stream&);
    void sendCall(Stream&);
    void sendOnce(Stream&, const std::shared_ptr<SentCall>&, std::size_t addressIndex);
    std::string outcomeOf(const HttpMessage&) const;
    void finish(Stream&, SentCall&, ExchangeFailure, const HttpMessage&);
    void countAnswer(Stream&, SentCall&, const HttpMessage&);
    void countLesser(Stream&, const SentCall&);
    HttpMessage requestOf(const Stream&, const SentCall&) const;
    std::size_t drawAddress(Stream&);

    asio::io_context& m_context;
    LoadOptions m_options;
    HttpClient m_client;
    Clock::time_point m_start;
    std::vector<std::unique_ptr<Stream>> m_streams;
    std::size_t m_openCalls = 0;
};

} // namespace Knapweedquay::Load
