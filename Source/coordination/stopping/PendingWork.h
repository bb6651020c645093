#pragma once

#include <cstddef>

namespace Knapweedquay {

/// What a process still holds for callers and for other processes.
struct PendingWork {
    /// Open connections of callers.
    std::size_t connections = 0;
    /// Those of them that have not carried a request yet.
    std::size_t unusedConnections = 0;
    /// Requests that were received only in part.
    std::size_t partialRequests = 0;
    /// Calls whose caller waits for the response, or whose idempotency key waits for the outcome.
    std::size_t calls = 0;
    /// Attempts that wait for the local backend server or run there.
    std::size_t attempts = 0;
    /// Bytes of responses that the system has not taken yet.
    std::size_t unsentCallerBytes = 0;
    /// Bytes of messages to other nodes that the system has not taken yet.
    std::size_t unsentPeerBytes = 0;
    /// Connections whose last response was sent and which the caller has not closed yet.
    std::size_t lingeringConnections = 0;
    /// Open links from other nodes.
    std::size_t links = 0;
    /// True once the other nodes know that this one leaves, so that they send it no more attempts.
    bool isLeaveSpread = false;

    /// True if every request that was received is answered and every answer was handed over.
    bool isAnswered() const { return partialRequests + calls + attempts + unsentCallerBytes + unsentPeerBytes == 0; }
};

} // namespace Knapweedquay
