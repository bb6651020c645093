#include "Load/HttpMessage.h"

#include <http_parser.h>

#include <algorithm>
#include <cctype>

namespace Knapweedquay::Load {

namespace {

const char* reasonPhrase(unsigned status)
{
    return http_status_str(static_cast<http_status>(status));
}

std::map<std::string, std::string> headersOf(const HttpHeaders& headers)
{
    std::map<std::string, std::string> byName;
    for (const HttpHeader& header : headers) {
        std::string name = header.name;
        std::transform(name.begin(), name.end(), name.begin(), [](unsigned char letter) { return std::tolower(letter); });
        byName[name] = header.value;
    }
    return byName;
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
    const std::string prefix = name + "=";
    std::size_t start = target.find('?');
    while (start != std::string::npos) {
        const std::size_t end = target.find('&', start + 1);
        const std::string parameter = target.substr(start + 1, end == std::string::npos ? end : end - start - 1);
        if (parameter.compare(0, prefix.size(), prefix) == 0)
            return parameter.substr(prefix.size());
        start = end;
    }
    return {};
}

HttpRequest toRequest(const HttpMessage& message)
{
    HttpRequest request { message.method, message.target, {}, message.body };
    for (const auto& [name, value] : message.headers)
        request.headers.push_back({ name, value });
    return request;
}

HttpMessage toMessage(const HttpRequest& request)
{
    HttpMessage message;
    message.method = request.method;
    message.target = request.target;
    message.headers = headersOf(request.headers);
    message.body = request.body;
    return message;
}

HttpMessage toMessage(const HttpResponse& response)
{
    HttpMessage message;
    message.status = response.status;
    message.headers = headersOf(response.headers);
    message.body = response.body;
    return message;
}

std::string serializeAnswer(const HttpMessage& message)
{
    std::string bytes = "HTTP/1.1 " + std::to_string(message.status) + " " + reasonPhrase(message.status) + "\r\n";
    for (const auto& [name, value] : message.headers)
        bytes.append(name).append(": ").append(value).append("\r\n");
    bytes += "content-length: " + std::to_string(message.body.size()) + "\r\n\r\n";
    return bytes + message.body;
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
