#pragma once

#include "Load/CallClassResult.h"
#include "Load/HttpClient.h"

#include <asio/steady_timer.hpp>

#include <random>
#include <vector>

namespace Knapweedquay::Load {

/// What a load generator sends, where to, and how the results are checked.
struct LoadOptions {
    /// Addresses to which calls are sent at random, "IP:port".
    std::vector<std::string> addresses;
    std::vector<CallClass> classes;
    /// How long calls are sent.
    std::chrono::milliseconds duration { 10000 };
    /// Seed of the arrival times, addresses and resends.
    std::uint64_t seed = 1;
    /// Prefix of every request id; runs that share record files need different ones.
    std::string runName = "run";
    /// True when the addresses are those of backend servers, whose answers carry no outcome header.
    bool isDirect = false;
    /// Execution records of the stand-ins.
    std::vector<std::string> recordFiles;
};

/// Open-loop load generator: sends each class as a seeded Poisson process, independently of the answers.
class LoadGenerator {
public:
    LoadGenerator(asio::io_context&, LoadOptions);
    ~LoadGenerator();

    /// Sends calls for the configured duration, and returns when every exchange has ended.
    void run();
    /// Compares the results with the execution records of the stand-ins; call it after run().
    void checkRecords();
    /// One result per class, in the order of the options.
    std::vector<CallClassResult> results() const;

private:
    using Clock = std::chrono::steady_clock;
    struct Stream;
    struct SentCall;

    bool isFinished() const;
    void scheduleNext(Stream&);
    void sendCall(Stream&);
    /// Sends a call to one address.
    void startExchange(Stream&, const std::shared_ptr<SentCall>&, std::size_t addressIndex);
    /// Value of Knapweedquay-Outcome; "answered" for every answer when the addresses are those of backend servers.
    std::string outcomeOf(const HttpMessage&) const;
    void finishExchange(Stream&, SentCall&, ExchangeFailure, const HttpMessage&);
    void countAnswer(Stream&, SentCall&, const HttpMessage&);
    /// Counts a call of which no exchange had the outcome "answered".
    void countUnanswered(Stream&, const SentCall&);
    HttpMessage requestOf(const Stream&, const SentCall&) const;
    std::size_t drawAddress(Stream&);

    asio::io_context& m_context;
    LoadOptions m_options;
    HttpClient m_client;
    Clock::time_point m_start;
    std::vector<std::unique_ptr<Stream>> m_streams;
    std::size_t m_openExchanges = 0;
};

} // namespace Knapweedquay::Load
