#pragma once

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
#include <string_view>

namespace Knapweedquay {

/// One websocket connection between two processes of the system; it carries whole binary messages.
class Link : public boost::intrusive_ref_counter<Link, boost::thread_unsafe_counter> {
public:
    struct Hooks {
        std::function<void()> opened;
        std::function<void(std::string_view)> received;
        /// Runs once, when the link ends or could not be opened.
        std::function<void()> closed;
    };

    virtual ~Link() = default;

    /// False when the link is not open or its send buffer is full; nothing was sent then.
    virtual bool send(const std::string& message) = 0;
    /// Asks the other side for a sign of life; its answer moves lastReceived.
    virtual void ping() = 0;
    /// Ends the link at once, without a closing handshake, since a silent peer would not answer one.
    virtual void abort() = 0;
    virtual bool isOpen() const = 0;
    virtual TimePoint lastReceived() const = 0;
    virtual void setHooks(Hooks) = 0;
};

using LinkPtr = boost::intrusive_ptr<Link>;

/// Accepts links on the event loop of its thread.
class LinkServer {
public:
    /// The hook must set the link's hooks before it returns.
    using AcceptHook = std::function<void(const LinkPtr&)>;

    LinkServer(asio::io_context&, std::size_t maximumMessageBytes, AcceptHook);
    ~LinkServer();

    /// Port 0 picks a free one. Errors: ConnectionFailed.
    Result<void> start(const std::string& address, std::uint16_t port);
    void stop();
    std::uint16_t port() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/// Opens links on the event loop of its thread.
class LinkClient {
public:
    LinkClient(asio::io_context&, std::size_t maximumMessageBytes);
    ~LinkClient();

    /// Starts to open a link to "address:port"; the hooks tell what becomes of it.
    LinkPtr connect(const std::string& peer, Link::Hooks);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Knapweedquay
