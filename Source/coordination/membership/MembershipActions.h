#pragma once

#include "protocol/CrashEvidence.h"
#include "protocol/Ids.h"
#include "protocol/MemberRecord.h"
#include "protocol/SocketAddress.h"

#include <string>
#include <variant>
#include <vector>

namespace Knapweedquay {

/// Send the bytes to the address by UDP. The protocol tolerates loss.
struct SendDatagram {
    SocketAddress address;
    std::string bytes;
    /// True for a member that is known to be in the sender's data centre.
    bool isLocal = false;
};

/// A member was added, or its health, incarnation, peer address or endpoint state changed.
struct MemberChanged {
    MemberRecord member;
};

/// A member has a newer version of a document in force than this node, which can fetch the document from it.
struct NewerDocumentHint {
    ServiceName service;
    DocumentVersion version;
    NodeId member;
};

/// Another process with the same node id and a later incarnation is a member, so this process must stop.
struct IncarnationSuperseded {
    Incarnation incarnation;
};

/// Another member has news about a request that was running in crashes.
struct EvidenceReceived {
    CrashEvidence evidence;
};

/// An action or event that a function of Membership returns.
using MembershipAction = std::variant<SendDatagram, MemberChanged, NewerDocumentHint, IncarnationSuperseded, EvidenceReceived>;
using MembershipActions = std::vector<MembershipAction>;

} // namespace Knapweedquay
