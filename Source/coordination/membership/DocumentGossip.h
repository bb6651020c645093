#pragma once

#include "coordination/membership/RumorQueue.h"
#include "protocol/GossipMessages.h"
#include "protocol/Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Knapweedquay {

/// Tracks the document versions that this node has in force, and detects newer ones at its peers.
///
/// Gossip carries only the versions; a node fetches the document itself from the peer that has it. A node announces
/// only versions that it has in force, so a hint always names a member that can serve the document.
class DocumentGossip {
public:
    /// Replaces the versions in force. Each new or newer version becomes a rumor.
    void update(const std::vector<DocumentHint>& inForce);

    /// Returns whether the peer's version is newer than the local one, and no hint of this or a later version was
    /// recorded within the last second. Records the hint if so.
    bool isNewHint(const DocumentHint&, TimePoint now);
    /// Returns whether a peer with these versions in force lacks a version that this node has.
    bool isPeerBehind(const std::vector<DocumentHint>& peerVersions) const;

    /// Hash of all versions in force; 0 when there are none.
    std::uint32_t hash() const { return m_hash; }
    std::vector<DocumentHint> inForce() const;
    /// The service and its version in force, or version 0 when it has none.
    DocumentHint hint(const ServiceName&) const;
    /// Services whose version in force is still to be passed on.
    RumorQueue<ServiceName>& rumors() { return m_rumors; }
    const RumorQueue<ServiceName>& rumors() const { return m_rumors; }

private:
    /// The version and time of a hint.
    struct LastHint {
        DocumentVersion version;
        TimePoint receivedAt;
    };

    std::map<ServiceName, DocumentVersion> m_inForce;
    /// Latest hint of a newer version for each service.
    std::map<ServiceName, LastHint> m_lastHints;
    RumorQueue<ServiceName> m_rumors;
    std::uint32_t m_hash = 0;
};

} // namespace Knapweedquay
