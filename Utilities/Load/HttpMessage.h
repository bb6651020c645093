#pragma once

#include "protocol/HttpMessage.h"

#include <map>
#include <string>

namespace Knapweedquay::Load {

/// An HTTP request or answer of the stand-ins and the load generator. Header names are in lower case.
///
/// The method and the target are empty in an answer, and the status is 0 in a request.
struct HttpMessage {
    std::string method;
    std::string target;
    unsigned status = 0;
    std::map<std::string, std::string> headers;
    std::string body;

    /// Value of a header, by its lower-case name; empty when it is absent.
    std::string header(const std::string& name) const;
    /// The request target without its query.
    std::string path() const;
    /// Value of a query parameter, not decoded; empty when it is absent.
    std::string query(const std::string& name) const;
};

/// Converts a message to a request of the transport layer.
HttpRequest toRequest(const HttpMessage&);
/// Converts a request or a response of the transport layer.
HttpMessage toMessage(const HttpRequest&);
HttpMessage toMessage(const HttpResponse&);
/// Serializes an answer, with a Content-Length.
std::string serializeAnswer(const HttpMessage&);
/// Makes a request without headers.
HttpMessage plainRequest(std::string method, std::string target, std::string body = {});
/// Makes an answer with a body of type text/plain.
HttpMessage textAnswer(unsigned status, std::string body);

} // namespace Knapweedquay::Load
