#pragma once

#include "protocol/Ids.h"
#include "protocol/SocketAddress.h"
#include "protocol/Time.h"

#include <cstdint>
#include <tuple>

namespace Knapweedquay {

/// What a backend server is doing, as its own node says.
enum class EndpointLifecycle : std::uint8_t {
    Starting = 0,
    Ready = 1,
    Draining = 2,
    /// The node itself leaves; final for its incarnation.
    Left = 3,
};

/// What the other members think of a member. The numeric order decides between reports of one version.
enum class MemberHealth : std::uint8_t {
    Alive = 0,
    Suspect = 1,
    Dead = 2,
};

/// Orders all that a member ever says of itself. Only the member itself raises it.
struct MemberVersion {
    Incarnation incarnation;
    /// Raised by each change and each refutation within one incarnation.
    std::uint64_t state = 0;

    friend bool operator==(const MemberVersion& a, const MemberVersion& b) { return a.incarnation == b.incarnation && a.state == b.state; }
    friend bool operator!=(const MemberVersion& a, const MemberVersion& b) { return !(a == b); }
    friend bool operator<(const MemberVersion& a, const MemberVersion& b) { return std::tie(a.incarnation, a.state) < std::tie(b.incarnation, b.state); }
};

/// The backend server beside a node, as it announced itself. An empty service name: none has yet.
struct EndpointState {
    ServiceName service;
    SocketAddress backendServer;
    /// Calls that the backend server can run at once; 0 when it did not say.
    std::uint32_t slots = 0;
    EndpointLifecycle lifecycle = EndpointLifecycle::Starting;
    /// When the backend server announced itself, on the clock of the process that holds this state.
    TimePoint announcedAt;
};

/// Everything that a deployment knows of one node.
struct MemberRecord {
    NodeId node;
    MemberVersion version;
    MemberHealth health = MemberHealth::Alive;
    DataCentre dataCentre;
    /// TCP address for calls from other nodes.
    SocketAddress peerAddress;
    /// UDP address for membership datagrams.
    SocketAddress gossipAddress;
    EndpointState endpoint;
    /// The member that reports the suspicion; empty unless the health is Suspect.
    NodeId suspectedBy;

    bool hasLeft() const { return endpoint.lifecycle == EndpointLifecycle::Left; }
    /// True while the member takes part: neither dead nor left.
    bool isPresent() const { return health != MemberHealth::Dead && !hasLeft(); }
};

} // namespace Knapweedquay
