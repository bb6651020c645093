#include "transport/GuardedSocket.h"

#include "protocol/ProblemDetails.h"

#include <asio/buffer.hpp>

#include <string>

namespace Knapweedquay {

namespace {

Error causeOf(bool isInReadHandler, std::size_t bytes, std::size_t maximumBytes)
{
    if (!isInReadHandler)
        return { ResultCode::RequestTooSlow, "the request was not whole in time" };
    if (bytes > maximumBytes)
        return { ResultCode::RequestTooLarge, "request of more than " + std::to_string(maximumBytes) + " bytes" };
    return { ResultCode::MalformedRequest, "not a well-formed HTTP/1.1 request, or a target or header that is too long" };
}

std::string serialize(const HttpResponse& response)
{
    std::string text = "HTTP/1.1 " + std::to_string(response.status) + " " + "Refused\r\nConnection: close\r\n";
    text += "Content-Length: " + std::to_string(response.body.size()) + "\r\n";
    for (const HttpHeader& header : response.headers)
        text += header.name + ": " + header.value + "\r\n";
    return text + "\r\n" + response.body;
}

} // namespace

asio::execution_context::id RequestsInProgress::id;

GuardedSocket::GuardedSocket(asio::io_context& context)
    : m_state(std::make_shared<State>(context))
{
}

void GuardedSocket::answerUnfinishedRequest()
{
    if (m_state->unansweredBytes == 0 || m_state->isPeerGone)
        return;
    asio::error_code error;
    const auto caller = m_state->socket.remote_endpoint(error);
    if (error || m_state->requests.contains(caller))
        return;
    const Error cause = causeOf(m_state->isInReadHandler, m_state->unansweredBytes, m_state->requests.maximumRequestBytes());
    const std::string text = serialize(problemResponse(cause, CallOutcomeKind::NotRun));
    // A short answer fits into the empty send buffer; when it does not, the caller sees only the close.
    m_state->socket.non_blocking(true, error);
    m_state->socket.write_some(asio::buffer(text), error);
    m_state->unansweredBytes = 0;
}

} // namespace Knapweedquay
