#pragma once

#include "Load/HttpMessage.h"

#include <http_parser.h>

#include <deque>
#include <optional>
#include <string_view>

namespace Knapweedquay::Load {

/// Turns the bytes of one connection into whole messages, by http_parser.
class HttpParser {
public:
    enum class Kind {
        Requests,
        Answers,
    };

    explicit HttpParser(Kind);
    HttpParser(const HttpParser&) = delete;
    HttpParser& operator=(const HttpParser&) = delete;

    /// Takes bytes in; empty bytes mean the end of the stream. False when they are no HTTP.
    bool feed(std::string_view bytes);
    /// The next whole message, if there is one.
    std::optional<HttpMessage> next();

private:
    static HttpParser& self(http_parser* parser) { return *static_cast<HttpParser*>(parser->data); }
    static http_parser_settings makeSettings();

    void keepHeader();
    void finishMessage();

    http_parser m_parser {};
    HttpMessage m_message;
    std::string m_headerName;
    std::string m_headerValue;
    bool m_isInValue = false;
    std::deque<HttpMessage> m_whole;
};

} // namespace Knapweedquay::Load
