#include "transport/HttpParser.h"

#include <utility>

namespace Knapweedquay {

namespace {

// Results of the callbacks, as http_parser defines them.
constexpr int continueParsing = 0;
constexpr int skipBody = 1;
constexpr int abortParsing = -1;
// Responses of these statuses have no body, whatever length they announce (RFC 9112, 6.3).
constexpr std::uint16_t firstStatusWithBody = 200;
constexpr std::uint16_t statusNoContent = 204;
constexpr std::uint16_t statusNotModified = 304;
/// Not allowed in the name of a header.
constexpr const char* blanks = " \t";

} // namespace

HttpParser::HttpParser(Kind kind, Limits limits)
    : m_limits(limits)
{
    http_parser_init(&m_parser, kind == Kind::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
    if (kind == Kind::Responses)
        m_framing.emplace(limits.headerBytes);
}

void HttpParser::expectNoBody(bool expected)
{
    m_expectsNoBody = expected;
    if (m_framing)
        m_framing->expectNoBody(expected);
}

const http_parser_settings& HttpParser::settings()
{
    static const http_parser_settings callbacks = [] {
        http_parser_settings result;
        http_parser_settings_init(&result);
        result.on_message_begin = [](http_parser* parser) { return self(parser).beginMessage(); };
        result.on_url = [](http_parser* parser, const char* data, std::size_t size) { return self(parser).addTarget({ data, size }); };
        result.on_header_field = [](http_parser* parser, const char* data, std::size_t size) { return self(parser).addHeaderName({ data, size }); };
        result.on_header_value = [](http_parser* parser, const char* data, std::size_t size) { return self(parser).addHeaderValue({ data, size }); };
        result.on_headers_complete = [](http_parser* parser) { return self(parser).endHeaders(); };
        result.on_body = [](http_parser* parser, const char* data, std::size_t size) { return self(parser).addBody({ data, size }); };
        result.on_message_complete = [](http_parser* parser) { return self(parser).endMessage(); };
        return result;
    }();
    return callbacks;
}

HttpParser::Progress HttpParser::feed(std::string_view bytes, std::size_t& consumed)
{
    m_isComplete = false;
    if (m_framing) {
        const std::optional<std::size_t> checked = m_framing->check(bytes);
        if (!checked) {
            consumed = 0;
            m_failure = m_framing->isTooLong() ? Failure::HeadersTooLarge : Failure::Malformed;
            return Progress::Failed;
        }
        bytes = bytes.substr(0, *checked);
    }
    consumed = bytes.empty() ? 0 : http_parser_execute(&m_parser, &settings(), bytes.data(), bytes.size());
    const Progress reached = progress();
    const bool isEndDisputed = m_framing && reached != Progress::Failed && m_framing->isComplete() != (reached == Progress::Complete);
    if (isEndDisputed && !bytes.empty()) {
        m_failure = Failure::Malformed;
        return Progress::Failed;
    }
    return reached;
}

HttpParser::Progress HttpParser::finish()
{
    m_isComplete = false;
    if (m_framing && !m_framing->lastsUntilEnd()) {
        m_failure = Failure::Malformed;
        return Progress::Failed;
    }
    http_parser_execute(&m_parser, &settings(), nullptr, 0);
    return progress();
}

HttpParser::Progress HttpParser::progress()
{
    const http_errno error = HTTP_PARSER_ERRNO(&m_parser);
    if (m_isComplete) {
        if (error == HPE_PAUSED)
            http_parser_pause(&m_parser, 0);
        return Progress::Complete;
    }
    if (m_failure == Failure::None && error == HPE_OK)
        return Progress::NeedsMore;
    if (m_failure == Failure::None)
        m_failure = error == HPE_HEADER_OVERFLOW ? Failure::HeadersTooLarge : Failure::Malformed;
    return Progress::Failed;
}

int HttpParser::beginMessage()
{
    m_isInMessage = true;
    m_hasHeaders = false;
    m_isInValue = false;
    m_headerBytes = 0;
    m_target.clear();
    m_headers.clear();
    m_body.clear();
    m_announcedBodyBytes.reset();
    m_bodyDigest.reset();
    return continueParsing;
}

int HttpParser::addTarget(std::string_view bytes)
{
    m_target.append(bytes);
    return countHeaderBytes(bytes.size()) ? continueParsing : fail(Failure::HeadersTooLarge);
}

int HttpParser::addHeaderName(std::string_view bytes)
{
    if (m_hasHeaders)
        return continueParsing;
    if (m_isInValue || m_headers.empty())
        m_headers.emplace_back();
    if (m_headers.size() > maximumHeaders)
        return fail(Failure::HeadersTooLarge);
    m_isInValue = false;
    m_headers.back().name.append(bytes);
    return countHeaderBytes(bytes.size()) ? continueParsing : fail(Failure::HeadersTooLarge);
}

int HttpParser::addHeaderValue(std::string_view bytes)
{
    if (m_hasHeaders)
        return continueParsing;
    m_isInValue = true;
    m_headers.back().value.append(bytes);
    return countHeaderBytes(bytes.size()) ? continueParsing : fail(Failure::HeadersTooLarge);
}

bool HttpParser::countHeaderBytes(std::size_t bytes)
{
    m_headerBytes += bytes;
    return m_headerBytes <= m_limits.headerBytes;
}

int HttpParser::endHeaders()
{
    m_hasHeaders = true;
    for (HttpHeader& header : m_headers) {
        // A proxy removes blanks before the colon of a response, and refuses such a request (RFC 9112, 5.1).
        if (m_parser.type == HTTP_RESPONSE)
            header.name.erase(header.name.find_last_not_of(blanks) + 1);
        if (header.name.find_first_of(blanks) != std::string::npos)
            return fail(Failure::Malformed);
    }
    m_status = static_cast<std::uint16_t>(m_parser.status_code);
    if (m_parser.type == HTTP_REQUEST)
        m_method = http_method_str(static_cast<http_method>(m_parser.method));
    constexpr std::uint64_t noLength = UINT64_MAX;
    const bool hasLength = (m_parser.flags & F_CONTENTLENGTH) != 0 && m_parser.content_length != noLength;
    const bool isBodiless = m_parser.type == HTTP_RESPONSE && (m_status < firstStatusWithBody || m_status == statusNoContent || m_status == statusNotModified);
    if (m_expectsNoBody || isBodiless)
        return skipBody;
    if (hasLength)
        m_announcedBodyBytes = m_parser.content_length;
    if (hasLength && m_parser.content_length > m_limits.bodyBytes)
        return fail(Failure::BodyTooLarge);
    return continueParsing;
}

int HttpParser::addBody(std::string_view bytes)
{
    if (m_body.size() + bytes.size() > m_limits.bodyBytes)
        return fail(Failure::BodyTooLarge);
    m_body.append(bytes);
    if (m_parser.type == HTTP_REQUEST) {
        if (!m_bodyDigest)
            m_bodyDigest = std::make_unique<DigestBuilder>();
        m_bodyDigest->add(bytes);
    }
    return continueParsing;
}

int HttpParser::endMessage()
{
    m_keepsConnection = http_should_keep_alive(&m_parser) != 0 && m_parser.upgrade == 0;
    m_isInMessage = false;
    m_hasHeaders = false;
    m_isComplete = true;
    http_parser_pause(&m_parser, 1);
    return continueParsing;
}

int HttpParser::fail(Failure failure)
{
    m_failure = failure;
    return abortParsing;
}

HttpRequest HttpParser::takeRequest(std::shared_ptr<const void> reservation)
{
    HttpRequest request { std::move(m_method), std::move(m_target), std::move(m_headers), Body(m_body.take(), std::move(reservation)) };
    if (m_bodyDigest)
        request.bodyDigest = m_bodyDigest->finish();
    return request;
}

HttpResponse HttpParser::takeResponse(std::shared_ptr<const void> reservation)
{
    return { m_status, std::move(m_headers), Body(m_body.take(), std::move(reservation)) };
}

} // namespace Knapweedquay
