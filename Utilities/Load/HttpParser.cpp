#include "Load/HttpParser.h"

#include <algorithm>
#include <cctype>

namespace Knapweedquay::Load {

namespace {

std::string lowerCase(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
    return text;
}

} // namespace

HttpParser::HttpParser(Kind kind)
{
    http_parser_init(&m_parser, kind == Kind::Requests ? HTTP_REQUEST : HTTP_RESPONSE);
    m_parser.data = this;
}

bool HttpParser::feed(std::string_view bytes)
{
    static const http_parser_settings settings = makeSettings();
    const std::size_t taken = http_parser_execute(&m_parser, &settings, bytes.data(), bytes.size());
    return taken == bytes.size() && HTTP_PARSER_ERRNO(&m_parser) == HPE_OK;
}

std::optional<HttpMessage> HttpParser::next()
{
    if (m_whole.empty())
        return std::nullopt;
    HttpMessage message = std::move(m_whole.front());
    m_whole.pop_front();
    return message;
}

http_parser_settings HttpParser::makeSettings()
{
    http_parser_settings settings;
    http_parser_settings_init(&settings);
    settings.on_message_begin = [](http_parser* parser) {
        self(parser).m_message = HttpMessage();
        return 0;
    };
    settings.on_url = [](http_parser* parser, const char* bytes, std::size_t size) {
        self(parser).m_message.target.append(bytes, size);
        return 0;
    };
    settings.on_header_field = [](http_parser* parser, const char* bytes, std::size_t size) {
        HttpParser& it = self(parser);
        if (it.m_isInValue)
            it.keepHeader();
        it.m_headerName.append(bytes, size);
        return 0;
    };
    settings.on_header_value = [](http_parser* parser, const char* bytes, std::size_t size) {
        self(parser).m_isInValue = true;
        self(parser).m_headerValue.append(bytes, size);
        return 0;
    };
    settings.on_headers_complete = [](http_parser* parser) {
        self(parser).keepHeader();
        return 0;
    };
    settings.on_body = [](http_parser* parser, const char* bytes, std::size_t size) {
        self(parser).m_message.body.append(bytes, size);
        return 0;
    };
    settings.on_message_complete = [](http_parser* parser) {
        self(parser).finishMessage();
        return 0;
    };
    return settings;
}

void HttpParser::keepHeader()
{
    if (!m_headerName.empty())
        m_message.headers[lowerCase(m_headerName)] = m_headerValue;
    m_headerName.clear();
    m_headerValue.clear();
    m_isInValue = false;
}

void HttpParser::finishMessage()
{
    if (m_parser.type == HTTP_REQUEST)
        m_message.method = http_method_str(static_cast<http_method>(m_parser.method));
    else
        m_message.status = m_parser.status_code;
    m_message.keepAlive = http_should_keep_alive(&m_parser) != 0;
    m_whole.push_back(std::move(m_message));
    m_message = HttpMessage();
}

} // namespace Knapweedquay::Load
