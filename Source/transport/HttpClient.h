#pragma once

#include "coordination/admission/BodyBudget.h"
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

/// HTTP/1.1 client on the event loop of its thread, based on http_parser and Asio.
///
/// Connections are pooled per server. A connection whose exchange was cancelled, failed or left unread bytes is closed
/// instead of reused. A response that does not match the request on its connection is discarded, and the client goes on
/// waiting for the one that does. A request is sent again only if its sender allows it.
class HttpClient {
public:
    using RequestId = std::uint64_t;

    /// Whether a response is the one to the request that waits on its connection.
    enum class Match {
        Yes,
        /// It belongs to another request, so the client waits for the next response.
        No,
        /// It may belong to an earlier request of the connection. The client waits for the next response for a limited time; without
        /// one, the request may have run.
        Doubtful,
    };

    /// How a request is sent, and which response is accepted for it.
    struct Options {
        /// Longest time from send() to the complete response, including the time to open a connection.
        Duration timeout { 1000000 };
        /// A response with a larger body fails.
        std::size_t maximumBodyBytes = 16 * 1024 * 1024;
        /// A pooled connection that was idle for longer is not used; zero always opens a new connection.
        Duration maximumIdle { 2000000 };
        /// Asked before the request is sent once more, on a new connection, because the server had closed the pooled one
        /// while it was idle: no byte of the response arrived, and the connection ended soon after the request was sent.
        /// When unset, the request is never sent again.
        std::function<bool()> allowsResend;
        /// Asked once a new connection is open, right before the request is sent on it. If false, the request ends with the code
        /// CancelledBeforeStart and certainly did not run. When unset, the request is always sent.
        std::function<bool()> maySend;
        /// Decides whether a response is the one to this request; when unset, every response is. isReused: the connection carried
        /// an earlier request.
        std::function<Match(const HttpResponse&, bool isReused)> matchesRequest;
        /// Longest wait for another response behind a doubtful one.
        Duration maximumDoubt { 100000 };
        /// Decides whether the connection is closed behind the response to this request, for a response that would be mistaken for
        /// the one to a later request if the server sent it once more; when unset, it is kept.
        std::function<bool(const HttpResponse&)> endsConnection;
        /// Only connections of the same pool are reused, so that no response to a request of another pool is taken for the one to
        /// this request.
        std::string pool;
    };

    /// Why a request ended without a complete response.
    struct Failure {
        Error error;
        /// False only when no byte of the request can have reached the server, on any connection.
        bool mayHaveRun = true;
        /// The server sent more than a response may have: a larger head or body, or one response after another that is not the
        /// one to this request.
        bool isTooLarge = false;
        /// The server refused the connection, so no process listens at its address.
        bool isRefused = false;
    };

    /// Result of a request: the response if succeeded is true, otherwise the failure.
    struct Outcome {
        bool succeeded = false;
        HttpResponse response;
        Failure failure;
        /// The request was sent once more on a new connection, see Options::allowsResend.
        bool wasResent = false;
    };
    /// Called with the result of a request.
    using Hook = std::function<void(Outcome)>;

    /// Totals since the client was created.
    struct Counters {
        std::uint64_t connectionsOpened = 0;
        /// Responses, and bytes on idle connections, that matched no request.
        std::uint64_t unmatchedResponses = 0;
    };

    /// bodies: for the bodies of responses, also of those that were received only in part. One with a length that finds no room
    /// waits for it unread. Among those without, the request with the largest one fails then, as too large.
    explicit HttpClient(asio::io_context&, BodyBudgetPointer bodies = std::make_shared<BodyBudget>());
    ~HttpClient();

    /// Sends a request to "address:port"; the hook runs once, unless the request is cancelled first.
    RequestId send(const std::string& server, const HttpRequest&, const Options&, Hook);
    /// Closes the connection of a request, which lets the server detect the cancellation; the hook does not run.
    void cancel(RequestId);
    /// Closes the idle pooled connections to a server.
    void closeIdleConnections(const std::string& server);
    const Counters& counters() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Knapweedquay
