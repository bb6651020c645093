#pragma once

#include "protocol/HttpMessage.h"

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace Knapweedquay {

/// Turns the bytes of one direction of an HTTP/1.1 connection into whole messages, by http_parser.
///
/// Stops behind each message, so that what follows it stays with the caller. Trailers are dropped.
class HttpParser {
public:
    enum class Kind : std::uint8_t {
        Requests,
        Responses,
    };

    enum class Progress : std::uint8_t {
        NeedsMore,
        /// One message is whole; take it before the next feed().
        Complete,
        Failed,
    };

    enum class Failure : std::uint8_t {
        None,
        Malformed,
        HeadersTooLarge,
        BodyTooLarge,
    };

    struct Limits {
        /// Bytes of the target and of the names and values of all headers.
        std::size_t headerBytes = 64 * 1024;
        std::size_t bodyBytes = 16 * 1024 * 1024;
    };

    HttpParser(Kind, Limits);
    HttpParser(const HttpParser&) = delete;
    HttpParser& operator=(const HttpParser&) = delete;

    void setLimits(Limits limits) { m_limits = limits; }
    /// The next response answers a HEAD request, so it has no body whatever its headers say.
    void expectNoBody(bool expected) { m_expectsNoBody = expected; }

    /// Reads up to the end of one message; consumed says how many bytes were taken.
    Progress feed(std::string_view bytes, std::size_t& consumed);
    /// The connection has ended in order; completes a response whose end is that of its connection.
    Progress finish();

    /// True from the first byte of a message until it is whole.
    bool isInMessage() const { return m_isInMessage; }
    /// True from the end of the headers until the message is whole.
    bool hasHeaders() const { return m_hasHeaders; }
    const HttpHeaders& headers() const { return m_headers; }
    Failure failure() const { return m_failure; }
    /// Of the whole message: false when its connection must not carry another one.
    bool keepsConnection() const { return m_keepsConnection; }

    HttpRequest takeRequest();
    HttpResponse takeResponse();

private:
    static HttpParser& self(http_parser* parser) { return *static_cast<HttpParser*>(parser->data); }
    static const http_parser_settings& settings();

    int beginMessage();
    int addTarget(std::string_view);
    int addHeaderName(std::string_view);
    int addHeaderValue(std::string_view);
    int endHeaders();
    int addBody(std::string_view);
    int endMessage();
    bool countHeaderBytes(std::size_t);
    int fail(Failure);
    Progress progress();

    http_parser m_parser {};
    Limits m_limits;
    bool m_expectsNoBody = false;
    bool m_isInMessage = false;
    bool m_hasHeaders = false;
    bool m_isComplete = false;
    bool m_isInValue = false;
    bool m_keepsConnection = false;
    Failure m_failure = Failure::None;
    std::size_t m_headerBytes = 0;
    std::string m_method;
    std::uint16_t m_status = 0;
    std::string m_target;
    HttpHeaders m_headers;
    std::string m_body;
};

} // namespace Knapweedquay
