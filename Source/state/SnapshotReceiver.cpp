#include "state/SnapshotReceiver.h"

#include "state/Checksum.h"

namespace Knapweedquay {

std::optional<Snapshot> SnapshotReceiver::add(const SnapshotChunk& chunk)
{
    const bool isSameSnapshot = chunk.lastIndex == m_lastIndex && chunk.lastTerm == m_lastTerm && chunk.checksum == m_checksum;
    if (!isSameSnapshot) {
        clear();
        m_lastIndex = chunk.lastIndex;
        m_lastTerm = chunk.lastTerm;
        m_checksum = chunk.checksum;
    }
    if (chunk.offset != m_bytes.size())
        return std::nullopt;
    m_bytes += chunk.bytes;
    if (m_bytes.size() < chunk.totalBytes)
        return std::nullopt;
    if (m_bytes.size() != chunk.totalBytes || crc32c(m_bytes) != chunk.checksum) {
        clear();
        return std::nullopt;
    }
    Snapshot snapshot { chunk.lastIndex, chunk.lastTerm, chunk.members, std::make_shared<const std::string>(std::move(m_bytes)) };
    clear();
    return snapshot;
}

void SnapshotReceiver::clear()
{
    m_lastIndex = LogIndex();
    m_lastTerm = Term();
    m_checksum = 0;
    m_bytes.clear();
}

} // namespace Knapweedquay
