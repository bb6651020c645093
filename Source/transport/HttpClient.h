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

/// HTTP/1.1 client on the event loop of its thread, by http_parser over Asio.
///
/// Connections are pooled per server. A connection whose exchange was abandoned, failed or left bytes behind is closed,
/// not reused. A response that does not belong to the request on the connection is dropped, and the one that does is
/// still awaited. No request is repeated unless its sender allows it.
class HttpClient {
public:
    using RequestId = std::uint64_t;

    struct Options {
        Duration timeout { 1000000 };
        std::size_t maximumBodyBytes = 16 * 1024 * 1024;
        /// A pooled connection that was idle for longer is not used; zero opens a new one.
        Duration maximumIdle { 2000000 };
        /// True when the request may be sent once more, over a new connection, after a pooled one ended without a
        /// byte of response.
        bool mayRepeat = false;
        /// Whether a response belongs to the request; unset, every one does.
        std::function<bool(const HttpResponse&)> matchesRequest;
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

    struct Counters {
        std::uint64_t connectionsOpened = 0;
        /// Responses that belonged to no request.
        std::uint64_t foreignResponses = 0;
    };

    explicit HttpClient(asio::io_context&);
    ~HttpClient();

    /// Sends a request to "address:port"; the hook runs once, unless the request is cancelled first.
    RequestId send(const std::string& server, const HttpRequest&, const Options&, Hook);
    /// Closes the request's connection, which tells the server; its hook will not run.
    void cancel(RequestId);
    /// Closes the pooled connections of a server that are idle.
    void closeIdleConnections(const std::string& server);
    const Counters& counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Knapweedquay
