#pragma once

#include "protocol/HttpMessage.h"
#include "protocol/Result.h"
#include "protocol/Time.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Knapweedquay {

/// HTTP/1.1 client on the event loop of its thread, over libcurl's multi interface.
///
/// Connections are pooled per server. A connection whose exchange was abandoned or failed is closed, not reused;
/// one that was idle for some seconds isn't reused either, since something between may have forgotten it.
/// libcurl's own repetition of a request over a new connection is refused, because the first one may have run.
class HttpClient {
public:
    using RequestId = std::uint64_t;

    struct Options {
        Duration timeout { 1000000 };
        std::size_t maximumBodyBytes = 16 * 1024 * 1024;
        /// True opens a new connection even when a pooled one is free.
        bool needsFreshConnection = false;
    };

    struct Failure {
        Error error;
        /// False only when no byte of the request can have reached the server.
        bool mayHaveRun = true;
    };

    /// Exactly one of response and failure is meaningful, as succeeded says.
    struct Outcome {
        bool succeeded = false;
        HttpResponse response;
        Failure failure;
    };
    using Hook = std::function<void(Outcome)>;

    explicit HttpClient(asio::io_context&);
    ~HttpClient();

    /// Sends a request to "address:port"; the hook runs once, unless the request is cancelled first.
    RequestId send(const std::string& server, const HttpRequest&, const Options&, Hook);
    /// Closes the request's connection, which tells the server; its hook will not run.
    void cancel(RequestId);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Knapweedquay
