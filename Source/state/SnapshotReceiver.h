#pragma once

#include "protocol/ReplicaMessages.h"
#include "state/LogBuffer.h"

#include <optional>
#include <string>

namespace Knapweedquay {

/// Puts the chunks of one snapshot together, in order, and checks the whole by its checksum.
class SnapshotReceiver {
public:
    /// The snapshot when this chunk completes it. A chunk of another snapshot starts over; one out of order is ignored.
    std::optional<Snapshot> add(const SnapshotChunk&);
    /// Offset of the chunk that is needed next.
    std::uint64_t nextOffset() const { return m_bytes.size(); }
    void clear();

private:
    LogIndex m_lastIndex;
    Term m_lastTerm;
    std::uint32_t m_checksum = 0;
    std::string m_bytes;
};

} // namespace Knapweedquay
