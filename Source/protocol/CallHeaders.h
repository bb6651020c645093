#pragma once

#include <string>

namespace Knapweedquay {

/// Names and options of the HTTP headers that a deployment's callers and backend servers use.
struct CallHeaders {
    /// Request: the caller's identifier of this request. A backend server repeats it in its response.
    std::string requestId = "Knapweedquay-Request-Id";
    /// Request: time left until the deadline, in whole milliseconds.
    std::string deadline = "Knapweedquay-Deadline-Ms";
    /// Request: the only instance of the backend server that may run it; any other responds with status 421.
    std::string expectedInstance = "Knapweedquay-Expected-Instance";
    /// Request: the service whose backend server made the request. The node sets it and discards what the caller sent.
    std::string callerService = "Knapweedquay-Caller-Service";
    /// Request: the workspace of the caller. Where the deployment has workspaces, the node sets it and discards what the caller
    /// sent.
    std::string workspace = "Knapweedquay-Workspace";
    /// Response: the backend server did not run the request.
    std::string notRun = "Knapweedquay-Not-Run";
    /// Response: load of the backend server as "running,waiting,slots,percent"; percent is the current duration of work
    /// relative to the nominal one.
    std::string load = "Knapweedquay-Load";
    /// Response: requests per second that the backend server takes from all callers together, as long as it says so.
    std::string requestLimit = "Knapweedquay-Request-Limit";
    /// Response: "1" when the backend server leaves, in all responses from then on.
    std::string leaving = "Knapweedquay-Leaving";
    /// Response: time in whole milliseconds for which the backend server stays cold, 0 when it is warm.
    std::string cold = "Knapweedquay-Cold-Ms";
    /// True when backend servers also receive the headers that only nodes interpret, such as the depth of a call.
    bool sendsNodeHeaders = true;
    /// True when backend servers repeat the identifier in all responses but refusals, so that a response without it is the one to no request.
    bool isRequestIdAlwaysRepeated = false;
    /// True when Retry-After may have a fraction of a second; otherwise it has whole seconds, rounded up.
    bool hasFractionalRetryAfter = false;
};

} // namespace Knapweedquay
