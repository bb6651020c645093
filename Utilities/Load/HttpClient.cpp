#include "Load/HttpClient.h"

#include <utility>

namespace Knapweedquay::Load {

namespace {

/// Largest body of an answer, in bytes.
constexpr std::size_t maximumAnswerBytes = 64 * 1024 * 1024;

BodyBudgetPointer answerBudget()
{
    constexpr std::size_t answers = 8;
    return std::make_shared<BodyBudget>(BodyBudget::Limits { maximumAnswerBytes, answers * maximumAnswerBytes });
}

ExchangeFailure failureOf(const Knapweedquay::HttpClient::Outcome& outcome)
{
    if (outcome.succeeded)
        return ExchangeFailure::None;
    if (outcome.failure.error.code == ResultCode::TimedOut)
        return ExchangeFailure::TimedOut;
    return outcome.failure.mayHaveRun ? ExchangeFailure::IncompleteAnswer : ExchangeFailure::NotConnected;
}

} // namespace

HttpClient::HttpClient(asio::io_context& context)
    : m_client(context, answerBudget())
{
}

void HttpClient::send(const std::string& address, const HttpMessage& request, std::chrono::milliseconds timeout, AnswerHandler handler)
{
    Knapweedquay::HttpClient::Options options;
    options.timeout = timeout;
    options.maximumBodyBytes = maximumAnswerBytes;
    m_client.send(address, toRequest(request), options, [handler = std::move(handler)](const Knapweedquay::HttpClient::Outcome& outcome) {
        handler(failureOf(outcome), outcome.succeeded ? toMessage(outcome.response) : HttpMessage());
    });
}

asio::ip::tcp::endpoint parseEndpoint(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::invalid_argument("'" + address + "' is not IP:port");
    const int port = std::stoi(address.substr(colon + 1));
    return { asio::ip::make_address(address.substr(0, colon)), static_cast<std::uint16_t>(port) };
}

HttpMessage exchangeOnce(const std::string& address, const HttpMessage& request, std::chrono::milliseconds timeout)
{
    asio::io_context context;
    HttpClient client(context);
    HttpMessage received;
    bool isFinished = false;
    client.send(address, request, timeout, [&](ExchangeFailure, const HttpMessage& answer) {
        received = answer;
        isFinished = true;
    });
    while (!isFinished)
        context.run_one();
    return received;
}

} // namespace Knapweedquay::Load
