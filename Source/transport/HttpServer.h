#pragma once

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

/// One request of a caller and the place where its answer goes.
///
/// The answer can only reach the connection that the request came from, and only once.
class HttpExchange : public boost::intrusive_ref_counter<HttpExchange, boost::thread_unsafe_counter> {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;
    /// Sends the answer; a second answer and one to a caller that went away are dropped.
    virtual void respond(const HttpResponse&) = 0;
    /// The hook runs at most once, when the caller's connection ends before the answer.
    void setDisconnectHook(std::function<void()> hook) { m_disconnectHook = std::move(hook); }

protected:
    std::function<void()> m_disconnectHook;
};

using HttpExchangePtr = boost::intrusive_ptr<HttpExchange>;

/// HTTP/1.1 server on the event loop of its thread, by http_parser over Asio.
///
/// Requests that a caller sends before the first is answered are handed on at once and answered in their order. The
/// connection is read while a request is in progress, so that a caller's leave is seen at once. Requests that are
/// malformed, too large or too slow get a numbered refusal before their connection ends.
class HttpServer {
public:
    /// What a caller may send, and how long it may take.
    struct Limits {
        std::size_t headerBytes = 16 * 1024;
        std::size_t bodyBytes = 16 * 1024 * 1024;
        /// From the first byte of a request to the end of its headers.
        Duration headerTimeout { 30000000 };
        /// From the end of the headers to the end of the body.
        Duration bodyTimeout { 30000000 };
        /// Between two requests of a connection.
        Duration idleTimeout { 30000000 };
    };

    struct Settings {
        std::string address = "127.0.0.1";
        /// 0 picks a free port.
        std::uint16_t port = 0;
        std::size_t maximumConnections = 4000;
        Limits limits;
    };
    using Handler = std::function<void(const HttpExchangePtr&)>;

    HttpServer(asio::io_context&, Settings, Handler);
    ~HttpServer();

    /// Binds and listens. Errors: ConnectionFailed with the system's reason.
    Result<void> start();
    /// For what is read from now on.
    void setLimits(const Limits&);
    /// From now on each answer tells its caller to use the connection no more; new connections are still taken.
    void closeAfterResponses();
    /// Takes no new connections and ends the idle ones; those with a request in progress stay until it is answered.
    void stop();
    std::uint16_t port() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Knapweedquay
