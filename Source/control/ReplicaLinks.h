#pragma once

#include "transport/Link.h"
#include "transport/SteadyTime.h"

#include <asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace Knapweedquay {

/// Links of this control replica to the other ones: one for each address, opened when there is something to send.
///
/// Messages may be lost; the protocols above send again. A link that brings nothing for a while although messages
/// are sent is replaced, since a peer that has lost track of it would not say so.
class ReplicaLinks {
public:
    /// Message that came back over a link that this replica opened.
    using ReceiveHook = std::function<void(std::string_view bytes)>;

    ReplicaLinks(asio::io_context&, std::size_t maximumMessageBytes, ReceiveHook);

    void send(const std::string& address, const std::string& bytes);

private:
    struct Peer {
        LinkPtr link;
        TimePoint openedAt;
        TimePoint retryAt;
        TimePoint lastPing;
        std::string pendingMessage;
    };

    void connect(const std::string& address, Peer&);
    void checkLinks();

    LinkClient m_client;
    ReceiveHook m_receive;
    std::map<std::string, Peer> m_peers;
    Timer m_checkTimer;
};

} // namespace Knapweedquay
