#pragma once

#include "protocol/ReplicaMessages.h"
#include "state/LogBuffer.h"

#include <optional>
#include <string>

namespace Knapweedquay {

/// Assembles the chunks of a snapshot, in order, and verifies its checksum.
class SnapshotReceiver {
public:
    /// Adds a chunk and returns the snapshot when it is complete. A chunk of another snapshot discards the chunks
    /// received so far; a chunk out of order is ignored.
    std::optional<Snapshot> add(const SnapshotChunk&);
    /// Offset of the next expected chunk.
    std::uint64_t nextOffset() const { return m_bytes.size(); }
    void clear();

private:
    LogIndex m_lastIndex;
    Term m_lastTerm;
    std::uint32_t m_checksum = 0;
    std::string m_bytes;
};

} // namespace Knapweedquay
