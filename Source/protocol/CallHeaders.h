#pragma once

#include <string>

namespace Knapweedquay {

/// Names of the HTTP headers that a deployment's callers and backend servers use.
struct CallHeaders {
    /// Request: the caller's name for this request. A backend server repeats it in its response.
    std::string requestId = "Knapweedquay-Request-Id";
    /// Request: whole milliseconds that are left.
    std::string deadline = "Knapweedquay-Deadline-Ms";
    /// Request: the only run of a backend server that may take it; any other answers 421.
    std::string expectedInstance = "Knapweedquay-Expected-Instance";
    /// Request: the service beside whose backend server the request began. Set by the node, whatever was sent.
    std::string callerService = "Knapweedquay-Caller-Service";
    /// Response: the backend server did not run the request.
    std::string notRun = "Knapweedquay-Not-Run";
    /// Response: load of the backend server; "running,waiting,slots,percent", the last being how long work takes now
    /// in percent of the usual.
    std::string load = "Knapweedquay-Load";
    /// Sends the headers that only nodes understand, such as the depth of a call, to backend servers too.
    bool sendsNodeHeaders = true;
    /// Retry-After with a fraction of a second, for callers that read it; others get whole seconds, rounded up.
    bool hasFractionalRetryAfter = false;
};

} // namespace Knapweedquay
