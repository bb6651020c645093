#pragma once

#include "Load/HttpClient.h"

#include <asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

/// One call that a test sends, and the result of it.
struct TestCall {
    /// The id that the backend server records with each execution.
    std::string id;
    HttpMessage request;
    /// True once an answer was received, or the exchange failed.
    bool isFinished = false;
    ExchangeFailure failure = ExchangeFailure::None;
    HttpMessage answer;

    std::string outcome() const { return answer.header("knapweedquay-outcome"); }
    /// Result code in the problem document of the answer; 0 when there is none.
    int code() const;
    /// True when the answer is complete and belongs to this call.
    bool isAnsweredCorrectly() const;
    bool isReportedNotRun() const { return outcome() == "not-run"; }
};

using TestCallPointer = std::shared_ptr<TestCall>;

/// Sends calls asynchronously and collects their answers.
class Caller {
public:
    /// Sends a call to the service "dispatch" under a unique id. The path is the part after the service's name, and the
    /// key is the idempotency key, or empty for none.
    TestCallPointer send(const std::string& node, const std::string& method, const std::string& path, std::chrono::milliseconds deadline, const std::string& key = {});
    /// Sends the request of an earlier call again, possibly through another node.
    TestCallPointer resend(const std::string& node, const TestCall&);
    /// Receives answers for the given time.
    void runFor(std::chrono::milliseconds duration);
    /// Waits for the results of all calls. Returns false when some are missing after the timeout.
    bool waitForAnswers(std::chrono::milliseconds timeout);
    const std::vector<TestCallPointer>& calls() const { return m_calls; }
    /// Time after a call's deadline for which the caller waits for the answer.
    std::chrono::milliseconds answerMargin { 3000 };

private:
    TestCallPointer start(const std::string& node, TestCall, std::chrono::milliseconds timeout);

    asio::io_context m_context;
    HttpClient m_client { m_context };
    std::vector<TestCallPointer> m_calls;
};

} // namespace Knapweedquay::Load
