#pragma once

#include "protocol/HttpMessage.h"
#include "transport/GrowingBody.h"
#include "transport/ResponseFraming.h"

#include <http_parser.h>

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace Knapweedquay {

/// Incremental parser for one direction of an HTTP/1.1 connection, based on http_parser.
///
/// Responses must also pass ResponseFraming, and both must find the same end.
/// Parsing stops at the end of each message; the bytes after it remain with the caller. Trailers are discarded.
class HttpParser {
public:
    /// Which messages the connection direction carries.
    enum class Kind : std::uint8_t {
        Requests,
        Responses,
    };

    /// State of the parser after feed() or finish().
    enum class Progress : std::uint8_t {
        /// All bytes were consumed and the message is not complete.
        NeedsMore,
        /// One message is complete; it must be taken before the next feed().
        Complete,
        /// The bytes are not a valid message within the limits; failure() has the reason.
        Failed,
    };

    /// Why parsing failed; None until then.
    enum class Failure : std::uint8_t {
        None,
        Malformed,
        HeadersTooLarge,
        BodyTooLarge,
    };

    /// Largest message that is accepted.
    struct Limits {
        /// Maximum total size of the request target and of all header names and values, in bytes.
        std::size_t headerBytes = 64 * 1024;
        /// Maximum size of the body, in bytes.
        std::size_t bodyBytes = 16 * 1024 * 1024;
    };

    HttpParser(Kind, Limits);
    HttpParser(const HttpParser&) = delete;
    HttpParser& operator=(const HttpParser&) = delete;

    /// Sets the limits for bytes that are parsed from now on.
    void setLimits(Limits limits) { m_limits = limits; }
    /// Set for the response to a HEAD request, which has no body even if it has a Content-Length.
    void expectNoBody(bool expected);

    /// Parses at most to the end of one message; consumed is set to the number of bytes parsed.
    Progress feed(std::string_view bytes, std::size_t& consumed);
    /// Signals an orderly end of the connection, which completes a response without a length.
    Progress finish();

    /// True from the first byte of a message until the message is complete.
    bool isInMessage() const { return m_isInMessage; }
    /// True from the end of the headers until the message is complete.
    bool hasHeaders() const { return m_hasHeaders; }
    /// Headers that were parsed so far.
    const HttpHeaders& headers() const { return m_headers; }
    /// Bytes of the body that were parsed so far and not taken.
    std::size_t bodyBytes() const { return m_body.size(); }
    /// Length of the body as its headers announce it; nothing if they don't.
    std::optional<std::uint64_t> announcedBodyBytes() const { return m_announcedBodyBytes; }
    /// Frees the body that was parsed so far, of a message that is not needed any more.
    void discardBody() { m_body.clear(); }
    /// Provides room for a body of known length.
    void reserveBody(std::size_t bytes) { m_body.reserve(bytes); }
    Failure failure() const { return m_failure; }
    /// Valid once a message is complete: false when its connection must not carry another message.
    bool keepsConnection() const { return m_keepsConnection; }

    /// Moves the complete request out of the parser. reservation: see Body.
    HttpRequest takeRequest(std::shared_ptr<const void> reservation = nullptr);
    /// Moves the complete response out of the parser.
    HttpResponse takeResponse(std::shared_ptr<const void> reservation = nullptr);

private:
    static HttpParser& self(http_parser* parser) { return *static_cast<HttpParser*>(parser->data); }
    static const http_parser_settings& settings();

    // Callbacks of http_parser; a result other than 0 makes it stop or skip the body.
    int beginMessage();
    int addTarget(std::string_view);
    int addHeaderName(std::string_view);
    int addHeaderValue(std::string_view);
    int endHeaders();
    int addBody(std::string_view);
    int endMessage();
    /// Adds to the size of the headers; false when the limit is exceeded.
    bool countHeaderBytes(std::size_t);
    /// Records the failure and returns the callback result that stops http_parser.
    int fail(Failure);
    /// Evaluates the state of http_parser after it was run.
    Progress progress();

    http_parser m_parser {};
    /// Set for responses.
    std::optional<ResponseFraming> m_framing;
    Limits m_limits;
    bool m_expectsNoBody = false;
    bool m_isInMessage = false;
    bool m_hasHeaders = false;
    bool m_isComplete = false;
    /// True while the bytes received last belong to a header value, so that the next name starts a new header.
    bool m_isInValue = false;
    bool m_keepsConnection = false;
    Failure m_failure = Failure::None;
    std::size_t m_headerBytes = 0;
    std::string m_method;
    std::uint16_t m_status = 0;
    std::string m_target;
    HttpHeaders m_headers;
    GrowingBody m_body;
    std::optional<std::uint64_t> m_announcedBodyBytes;
    /// Digest of the body of a request; null until its first byte.
    std::unique_ptr<DigestBuilder> m_bodyDigest;
};

} // namespace Knapweedquay
