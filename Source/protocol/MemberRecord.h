#pragma once

#include "protocol/Ids.h"
#include "protocol/SocketAddress.h"
#include "protocol/Time.h"

#include <cstdint>
#include <tuple>

namespace Knapweedquay {

/// State of a backend server, as reported by its node.
enum class EndpointLifecycle : std::uint8_t {
    /// No backend server is announced now.
    Starting = 0,
    /// The backend server takes calls.
    Ready = 1,
    /// The backend server finishes its calls and takes no new ones.
    Draining = 2,
    /// The node itself has left; final for its incarnation.
    Left = 3,
};

/// Health of a member in the view of the others. Of two reports with the same version, the greater value wins.
enum class MemberHealth : std::uint8_t {
    Alive = 0,
    Suspect = 1,
    Dead = 2,
};

/// Orders the states that a member reports of itself. Only the member itself increases it.
struct MemberVersion {
    Incarnation incarnation;
    /// Increased by each change and each refuted suspicion within one incarnation.
    std::uint64_t state = 0;

    friend bool operator==(const MemberVersion& a, const MemberVersion& b) { return a.incarnation == b.incarnation && a.state == b.state; }
    friend bool operator!=(const MemberVersion& a, const MemberVersion& b) { return !(a == b); }
    friend bool operator<(const MemberVersion& a, const MemberVersion& b) { return std::tie(a.incarnation, a.state) < std::tie(b.incarnation, b.state); }
};

/// The backend server of a node, as it announced itself. The service name is empty when none has announced itself yet.
struct EndpointState {
    ServiceName service;
    SocketAddress backendServer;
    /// Calls that the backend server can run at once; 0 when the announcement did not include it.
    std::uint32_t slots = 0;
    EndpointLifecycle lifecycle = EndpointLifecycle::Starting;
    /// When the backend server announced itself, on the clock of the process that holds this state.
    TimePoint announcedAt;
};

/// All that the membership protocol distributes about one node.
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
    /// The member that raised the suspicion; empty unless the health is Suspect.
    NodeId suspectedBy;

    bool hasLeft() const { return endpoint.lifecycle == EndpointLifecycle::Left; }
    /// True while the member is neither dead nor has left.
    bool isPresent() const { return health != MemberHealth::Dead && !hasLeft(); }
};

} // namespace Knapweedquay
