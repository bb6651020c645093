#pragma once

#include "coordination/membership/RumorQueue.h"
#include "protocol/GossipMessages.h"
#include "protocol/Time.h"

#include <cstdint>
#include <map>
#include <vector>

namespace Knapweedquay {

/// Which document versions this node has in force, and which newer ones its peers have.
///
/// Only versions travel here; a node fetches the document itself from the peer that has it. A node tells only of
/// versions that it has in force, so a hint always names a member that can serve the document.
class DocumentGossip {
public:
    /// Replaces the versions in force. Newer ones become rumors.
    void update(const std::vector<DocumentHint>& inForce);

    /// True when the peer's version is newer and was not hinted at in the last second.
    bool isNewHint(const DocumentHint&, TimePoint now);
    /// True when a peer that has these versions in force lacks some that this node has.
    bool isPeerBehind(const std::vector<DocumentHint>& theirs) const;

    /// Hash over all versions in force; 0 when there are none.
    std::uint32_t hash() const { return m_hash; }
    std::vector<DocumentHint> inForce() const;
    DocumentHint hint(const ServiceName&) const;
    RumorQueue<ServiceName>& rumors() { return m_rumors; }
    const RumorQueue<ServiceName>& rumors() const { return m_rumors; }

private:
    struct LastHint {
        DocumentVersion version;
        TimePoint receivedAt;
    };

    std::map<ServiceName, DocumentVersion> m_inForce;
    std::map<ServiceName, LastHint> m_lastHints;
    RumorQueue<ServiceName> m_rumors;
    std::uint32_t m_hash = 0;
};

} // namespace Knapweedquay
