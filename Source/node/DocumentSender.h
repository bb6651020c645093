#pragma once

#include <cstddef>
#include <cstdint>
#include <string>

namespace Knapweedquay {

/// Sender of a document to a node.
struct DocumentSender {
    /// False: another node, which has the document in force.
    bool isReplica = true;
    /// Address of the replica, or id of the node.
    std::string name;
    /// Bytes in which the text was received; fewer than it has if it was sent as a difference.
    std::size_t receivedBytes = 0;
};

/// Bytes of the documents that a node received, by the kind of their sender and by what became of them.
struct DocumentBytes {
    std::uint64_t appliedFromReplicas = 0;
    std::uint64_t appliedFromNodes = 0;
    /// Documents that were not newer than the one in force, or that could not be read.
    std::uint64_t discardedFromReplicas = 0;
    std::uint64_t discardedFromNodes = 0;
};

} // namespace Knapweedquay
