#include "Load/HttpMessage.h"

#include <http_parser.h>

namespace Knapweedquay::Load {

namespace {

const char* reasonOf(unsigned status)
{
    return http_status_str(static_cast<http_status>(status));
}

std::string withHeadersAndBody(std::string firstLine, const HttpMessage& message)
{
    std::string bytes = std::move(firstLine);
    for (const auto& [name, value] : message.headers)
        bytes.append(name).append(": ").append(value).append("\r\n");
    bytes += "content-length: " + std::to_string(message.body.size()) + "\r\n\r\n";
    bytes += message.body;
    return bytes;
}

} // namespace

std::string HttpMessage::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::string HttpMessage::path() const
{
    return target.substr(0, target.find('?'));
}

std::string HttpMessage::query(const std::string& name) const
{
    const std::string wanted = name + "=";
    std::size_t start = target.find('?');
    while (start != std::string::npos) {
        const std::size_t end = target.find('&', start + 1);
        const std::string parameter = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        if (parameter.compare(0, wanted.size(), wanted) == 0)
            return parameter.substr(wanted.size());
        start = end;
    }
    return {};
}

std::string serializeRequest(const HttpMessage& message)
{
    return withHeadersAndBody(message.method + " " + message.target + " HTTP/1.1\r\n", message);
}

std::string serializeAnswer(const HttpMessage& message)
{
    return withHeadersAndBody("HTTP/1.1 " + std::to_string(message.status) + " " + reasonOf(message.status) + "\r\n", message);
}

HttpMessage plainRequest(std::string method, std::string target, std::string body)
{
    HttpMessage message;
    message.method = std::move(method);
    message.target = std::move(target);
    message.body = std::move(body);
    return message;
}

HttpMessage textAnswer(unsigned status, std::string body)
{
    HttpMessage message;
    message.status = status;
    message.headers["content-type"] = "text/plain";
    message.body = std::move(body);
    return message;
}

} // namespace Knapweedquay::Load
