#include "processes/Caller.h"

#include "Load/EchoAnswer.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <thread>

namespace Knapweedquay::Load {

namespace {

constexpr std::size_t answerBytes = 500;

} // namespace

int TestCall::code() const
{
    const auto problem = nlohmann::json::parse(answer.body, nullptr, false);
    return problem.is_object() ? problem.value("code", 0) : 0;
}

bool TestCall::isAnsweredCorrectly() const
{
    return outcome() == "answered" && answer.status == 200 && answer.body == echoAnswer(id, request.body, answerBytes);
}

TestCallPointer Caller::send(const std::string& node, const std::string& method, const std::string& path, std::chrono::milliseconds deadline, const std::string& key)
{
    TestCall call;
    call.id = "call-" + std::to_string(m_calls.size());
    call.request = plainRequest(method, "/call/dispatch" + path + "?id=" + call.id + "&size=" + std::to_string(answerBytes));
    if (method == "POST")
        call.request.body = requestBody(call.id, answerBytes);
    call.request.headers["knapweedquay-deadline-ms"] = std::to_string(deadline.count());
    if (!key.empty())
        call.request.headers["idempotency-key"] = key;
    return start(node, std::move(call), deadline + answerMargin);
}

TestCallPointer Caller::resend(const std::string& node, const TestCall& first)
{
    TestCall call;
    call.id = first.id;
    call.request = first.request;
    return start(node, std::move(call), std::chrono::milliseconds(std::stol(first.request.header("knapweedquay-deadline-ms"))) + answerMargin);
}

TestCallPointer Caller::start(const std::string& node, TestCall call, std::chrono::milliseconds timeout)
{
    auto tracked = std::make_shared<TestCall>(std::move(call));
    m_calls.push_back(tracked);
    m_client.send(node, tracked->request, timeout, [tracked](ExchangeFailure failure, const HttpMessage& answer) {
        tracked->isFinished = true;
        tracked->failure = failure;
        tracked->answer = answer;
    });
    return tracked;
}

void Caller::runFor(std::chrono::milliseconds duration)
{
    const auto end = std::chrono::steady_clock::now() + duration;
    while (std::chrono::steady_clock::now() < end) {
        m_context.restart();
        m_context.run_until(end);
        if (m_context.stopped())
            std::this_thread::sleep_until(end);
    }
}

bool Caller::waitForAnswers(std::chrono::milliseconds timeout)
{
    const auto areFinished = [this] { return std::all_of(m_calls.begin(), m_calls.end(), [](const TestCallPointer& call) { return call->isFinished; }); };
    const auto end = std::chrono::steady_clock::now() + timeout;
    m_context.restart();
    while (!areFinished() && std::chrono::steady_clock::now() < end)
        m_context.run_one_until(end);
    return areFinished();
}

} // namespace Knapweedquay::Load
