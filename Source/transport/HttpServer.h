#pragma once

#include "coordination/admission/BodyBudget.h"
#include "protocol/HttpMessage.h"
#include "protocol/Result.h"
#include "protocol/Time.h"

#include <asio/io_context.hpp>

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace Knapweedquay {

/// A request received by an HttpServer, and the means to answer it.
///
/// The response can only be sent on the connection that the request arrived on, and only once.
class HttpExchange : public boost::intrusive_ref_counter<HttpExchange, boost::thread_unsafe_counter> {
public:
    virtual ~HttpExchange() = default;

    /// The request as it was received.
    virtual const HttpRequest& request() const = 0;
    /// Sends the response. A second response, and one to a caller that has disconnected, are discarded.
    virtual void respond(const HttpResponse&) = 0;
    /// Leaves the requests behind this one on its connection unread until it is answered. If the response to it then announces the end
    /// of the connection, the caller knows that they were not run.
    virtual void holdFollowing() = 0;
    /// True if a response that is ready waits for the one to this request.
    virtual bool holdsBackResponse() const = 0;
    /// Sets a hook that runs at most once, when the caller's connection ends before respond() was called.
    void setDisconnectHook(std::function<void()> hook) { m_disconnectHook = std::move(hook); }

protected:
    std::function<void()> m_disconnectHook;
};

using HttpExchangePtr = boost::intrusive_ptr<HttpExchange>;

/// HTTP/1.1 server on the event loop of its thread, based on http_parser and Asio.
///
/// Pipelined requests are passed to the handler as they arrive, unless an earlier one holds them, and answered in the order of arrival. A connection is
/// read while a request is in progress, so that a disconnect of the caller is detected at once. Requests that are
/// malformed, too large or too slow are answered with a problem document before their connection is closed.
class HttpServer {
public:
    /// Bounds on the size of requests and on the time that callers may take to send them.
    struct Limits {
        /// Maximum total size of the request target and of all header names and values, in bytes.
        std::size_t headerBytes = 16 * 1024;
        /// Maximum size of the body, in bytes.
        std::size_t bodyBytes = 16 * 1024 * 1024;
        /// Longest time from the first byte of a request to the end of its headers.
        Duration headerTimeout { 30000000 };
        /// Longest time from the end of the headers to the end of the body.
        Duration bodyTimeout { 30000000 };
        /// Longest time without a request after which a connection is closed.
        Duration idleTimeout { 30000000 };
    };

    /// Where the server listens, and what it accepts.
    struct Settings {
        /// IP address to listen on.
        std::string address = "127.0.0.1";
        /// Port to listen on; 0 selects a free port.
        std::uint16_t port = 0;
        /// Connections beyond this number are closed unread.
        std::size_t maximumConnections = 4000;
        /// For the bodies of requests, also of those that were received only in part; requests that find no room are refused as
        /// Overloaded.
        BodyBudgetPointer bodies = std::make_shared<BodyBudget>();
        /// Further requests are refused as Overloaded while callers have not read this many bytes of their responses. Large bodies
        /// that are counted in a budget don't count.
        std::size_t maximumUnsentBytes = 32 * 1024 * 1024;
        Limits limits;
    };
    /// Open connections, and what they still carry.
    struct Load {
        std::size_t connections = 0;
        /// Connections that have not carried a request yet.
        std::size_t unusedConnections = 0;
        /// Requests that were received only in part.
        std::size_t partialRequests = 0;
        /// Requests whose response is not ready yet, or waits for an earlier one of the same connection.
        std::size_t unansweredRequests = 0;
        /// Bytes of responses that the system has not taken yet.
        std::size_t unsentBytes = 0;
        /// Connections whose last response was sent and which the caller has not closed yet.
        std::size_t lingeringConnections = 0;
    };

    /// Called with each complete request.
    using Handler = std::function<void(const HttpExchangePtr&)>;

    HttpServer(asio::io_context&, Settings, Handler);
    ~HttpServer();

    /// Binds the address and starts to listen. Errors: ConnectionFailed with the system's reason.
    Result<void> start();
    /// Sets the limits for bytes that are read from now on.
    void setLimits(const Limits&);
    /// Makes each connection close after the responses to its requests in progress, announced by "Connection: close".
    /// New connections are still accepted.
    void closeAfterResponses();
    /// Stops accepting connections and closes the idle ones. A connection whose request is in progress, is arriving or has
    /// not arrived yet, because the connection is new, is closed after the response.
    void stop();
    /// Closes all idle connections, also those that have not carried a request yet, unless one has arrived.
    void closeIdleConnections();
    /// Answers the requests that were received only in part with a problem document, and closes their connections.
    void refusePartialRequests(const Error&);
    Load load() const;
    /// Port that the server listens on, once started.
    std::uint16_t port() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Knapweedquay
