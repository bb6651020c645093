#pragma once

#include "protocol/PeerMessages.h"

#include <cstddef>

namespace Knapweedquay {

/// What a message between nodes is for, by which its bytes are counted.
enum class PeerTraffic {
    /// Calls and their cancels.
    Call,
    /// Answers of backend servers.
    Answer,
    /// Confirmations, refusals and unknown outcomes, and what announces and paces bodies.
    Outcome,
    /// Probes and their answers.
    Probe,
    LoadUpdate,
    /// Documents and requests for them.
    Document,
    Hello,
    /// Datagrams of the membership protocol.
    Membership,
    /// Requests for credit of quotas, and grants.
    Quota
};
constexpr std::size_t peerTrafficKinds = 9;

PeerTraffic trafficOf(const PeerMessage&);

} // namespace Knapweedquay
