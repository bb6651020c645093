#pragma once

#include "Load/HttpClient.h"

#include <asio/io_context.hpp>

#include <memory>
#include <string>
#include <vector>

namespace Knapweedquay::Load {

/// One call of a test and what came back.
struct TestCall {
    std::string id;
    HttpMessage request;
    bool isOver = false;
    ExchangeFailure failure = ExchangeFailure::None;
    HttpMessage answer;

    std::string outcome() const { return answer.header("knapweedquay-outcome"); }
    /// The numbered code of a refusal; 0 when there is none.
    int code() const;
    /// True for a whole answer to this very call.
    bool isAnsweredRightly() const;
    bool isToldNotRun() const { return outcome() == "not-run"; }
};

using TestCallPointer = std::shared_ptr<TestCall>;

/// Sends calls without waiting for their answers.
class Caller {
public:
    /// Path is the one behind the service's name; the id is made unique.
    TestCallPointer send(const std::string& node, const std::string& method, const std::string& path, std::chrono::milliseconds deadline, const std::string& key = {});
    /// The same request once more, maybe through another node.
    TestCallPointer resend(const std::string& node, const TestCall&);
    /// Lets answers come in for a time.
    void run(std::chrono::milliseconds duration);
    /// True when every call is over within the patience.
    bool finish(std::chrono::milliseconds patience);
    const std::vector<TestCallPointer>& calls() const { return m_calls; }
    /// How long a caller waits for an answer beyond the deadline.
    std::chrono::milliseconds answerPatience { 3000 };

private:
    TestCallPointer start(const std::string& node, TestCall, std::chrono::milliseconds patience);

    asio::io_context m_context;
    HttpClient m_client { m_context };
    std::vector<TestCallPointer> m_calls;
};

} // namespace Knapweedquay::Load
