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

/// A WebSocket connection between two processes of the system, which carries complete binary messages.
class Link : public boost::intrusive_ref_counter<Link, boost::thread_unsafe_counter> {
public:
    /// Callbacks for the events of a link; an unset one is not called.
    struct Hooks {
        /// Runs once the link is open.
        std::function<void()> opened;
        /// Runs with each received message.
        std::function<void(std::string_view)> received;
        /// Runs once, when the link is closed or could not be opened.
        std::function<void()> closed;
    };

    virtual ~Link() = default;

    /// Queues a message. Returns false, with nothing sent, when the link is not open or its send buffer is full.
    virtual bool send(const std::string& message) = 0;
    /// Sends a WebSocket ping; the peer's pong updates lastReceived().
    virtual void ping() = 0;
    /// Closes the link immediately, without a closing handshake, since an unresponsive peer would not answer it.
    virtual void abort() = 0;
    /// Closes the link once the peer has received the messages before; send() fails from now on. A peer that does not
    /// respond is given up after half a second.
    virtual void finish() { abort(); }
    virtual bool isOpen() const = 0;
    /// True once the peer's system has accepted the connection, even if its process has not answered yet. A machine without
    /// power accepts none.
    virtual bool isReached() const { return isOpen(); }
    /// When the last message or pong was received, or the link was opened; while a large message is on its way in either
    /// direction, the last call at which more of it had passed than at the call before.
    virtual TimePoint lastReceived() = 0;
    /// Bytes of messages that the system has not taken yet.
    virtual std::size_t unsentBytes() const { return 0; }
    virtual void setHooks(Hooks) = 0;
    /// Features that the peer named when it opened this link; empty on a link that this process opened.
    virtual std::string peerFeatures() const = 0;
};

using LinkPtr = boost::intrusive_ptr<Link>;

/// Listens for links on the event loop of its thread.
class LinkServer {
public:
    /// Called with each accepted link; it must set the hooks of the link before it returns.
    using AcceptHook = std::function<void(const LinkPtr&)>;

    LinkServer(asio::io_context&, std::size_t maximumMessageBytes, AcceptHook);
    ~LinkServer();

    /// Binds the address and starts to listen; port 0 selects a free port. Errors: ConnectionFailed.
    Result<void> start(const std::string& address, std::uint16_t port);
    /// Stops listening; open links are not affected.
    void stop();
    /// Port that the server listens on, once started.
    std::uint16_t port() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

/// Opens links on the event loop of its thread.
class LinkClient {
public:
    /// features: what this process understands beyond the first release, told to the peer with each link. Peers of
    /// earlier releases ignore it.
    LinkClient(asio::io_context&, std::size_t maximumMessageBytes, std::string features = {});
    ~LinkClient();

    /// Starts to open a link to "address:port" and reports its events to the hooks. Returns null if the address is
    /// invalid.
    LinkPtr connect(const std::string& peer, Link::Hooks);

private:
    class Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace Knapweedquay
