#pragma once

#include "protocol/HttpMessage.h"

#include <map>
#include <string>

namespace Knapweedquay::Load {

/// One HTTP request or answer as a stand-in sees it. Header names are in lower case.
struct HttpMessage {
    std::string method;
    std::string target;
    unsigned status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    /// Value of a header, by its lower-case name; empty when it is absent.
    std::string header(const std::string& name) const;
    /// The target without its query.
    std::string path() const;
    /// Value of a query parameter; empty when it is absent.
    std::string query(const std::string& name) const;
};

HttpRequest toRequest(const HttpMessage&);
HttpMessage toMessage(const HttpRequest&);
HttpMessage toMessage(const HttpResponse&);
/// Bytes of an answer with a Content-Length.
std::string serializeAnswer(const HttpMessage&);
/// A request without headers.
HttpMessage plainRequest(std::string method, std::string target, std::string body = {});
/// An answer with a text body.
HttpMessage textAnswer(unsigned status, std::string body);

} // namespace Knapweedquay::Load
