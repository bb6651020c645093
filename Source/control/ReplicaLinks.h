#pragma once

#include "coordination/membership/OpeningTimeout.h"
#include "transport/Link.h"
#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Knapweedquay {

/// Links from this control replica to the others: one for each address, opened when a message is to be sent.
///
/// Messages may be lost; the protocols above resend them. A link that receives nothing for a while although pings are
/// sent is closed, since a peer that no longer has the connection may not report it.
class ReplicaLinks {
public:
    /// Called with each message received over a link that this replica opened.
    using ReceiveHook = std::function<void(std::string_view bytes)>;

    ReplicaLinks(asio::io_context&, std::size_t maximumMessageBytes, ReceiveHook);

    /// Sends the message if the link is open; otherwise keeps it, in place of an earlier one, until the link opens or the
    /// message is a second old.
    void send(const std::string& address, const std::string& bytes);
    /// Opens the link before there is a message, for a second at most. After a start of all replicas, the first votes would
    /// otherwise wait for links that open beside those of many nodes.
    void open(const std::string& address);

private:
    /// Another replica and the link to it.
    struct Peer {
        LinkPtr link;
        /// When the opening of the current link began.
        TimePoint openedAt;
        OpeningTimeout openingTimeout;
        /// Earliest time for the next attempt to open a link.
        TimePoint retryAt;
        TimePoint lastPing;
        /// Newest message that could not be sent yet; empty when there is none.
        std::string pendingMessage;
        /// When it was to be sent.
        TimePoint pendingSince;
        /// The link is opened until then although no message waits.
        TimePoint wantedUntil;

        bool isWanted(TimePoint now) const { return !pendingMessage.empty() || now < wantedUntil; }
    };

    void connect(const std::string& address, Peer&);
    /// Handles a link that is not open: aborts it if its opening stalls, and opens it again while a message waits.
    void checkOpening(const std::string& address, Peer&, TimePoint now);
    /// Pings open links, and aborts those that are stale.
    void checkLinks();

    LinkClient m_client;
    ReceiveHook m_receive;
    std::map<std::string, Peer> m_peers;
    Timer m_checkTimer;
};

} // namespace Knapweedquay
