#include "transport/GuardedSocket.h"

#include "protocol/ProblemDetails.h"

#include <asio/buffer.hpp>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string>
#include <string_view>

namespace Knapweedquay {

namespace {

constexpr std::size_t maximumHeldBytes = 32 * 1024 * 1024;

// Value of a Content-Length line in the bytes that were read last; 0 when there is none.
std::uint64_t announcedBodyBytes(std::string_view bytes)
{
    constexpr std::string_view name = "Content-Length:";
    for (std::size_t lineStart = 0; lineStart < bytes.size();) {
        const std::size_t lineEnd = std::min(bytes.find('\n', lineStart), bytes.size());
        const std::string_view line = bytes.substr(lineStart, lineEnd - lineStart);
        lineStart = lineEnd + 1;
        if (line.size() <= name.size() || !equalHeaderNames(line.substr(0, name.size()), name))
            continue;
        const std::size_t digits = line.find_first_not_of(' ', name.size());
        std::uint64_t length = 0;
        if (digits != std::string_view::npos)
            std::from_chars(line.data() + digits, line.data() + line.size(), length);
        return length;
    }
    return 0;
}

Error causeOf(bool isInReadHandler, bool hasRoom, std::uint64_t bytes, std::uint64_t maximumBytes)
{
    if (!hasRoom)
        return { ResultCode::Overloaded, "too many bytes of requests are waiting at this node" };
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

bool RequestsInProgress::reserve(std::size_t bytes)
{
    if (m_heldBytes + bytes > maximumHeldBytes)
        return false;
    m_heldBytes += bytes;
    return true;
}

GuardedSocket::GuardedSocket(asio::io_context& context)
    : m_state(std::make_shared<State>(context))
{
}

void GuardedSocket::answerUnfinishedRequest()
{
    if ((m_state->unansweredBytes == 0 && m_state->hasRoom) || m_state->isPeerGone)
        return;
    asio::error_code error;
    const auto caller = m_state->socket.remote_endpoint(error);
    if (error || m_state->requests.contains(caller))
        return;
    const std::uint64_t announcedBytes = m_state->isInReadHandler ? announcedBodyBytes(m_state->lastChunk) : 0;
    const std::uint64_t requestBytes = std::max<std::uint64_t>(m_state->unansweredBytes, announcedBytes);
    const Error cause = causeOf(m_state->isInReadHandler, m_state->hasRoom, requestBytes, m_state->requests.maximumRequestBytes());
    const std::string text = serialize(problemResponse(cause, CallOutcomeKind::NotRun));
    // A short answer fits into the empty send buffer; when it does not, the caller sees only the close.
    m_state->socket.non_blocking(true, error);
    m_state->socket.write_some(asio::buffer(text), error);
    m_state->releaseBytes();
}

} // namespace Knapweedquay
