#pragma once

#include <cstddef>

namespace Knapweedquay {

/// Bounds on the bytes of requests and responses that a node holds, as shares of the memory that its process may use.
///
/// Load pattern: requests and responses that are large, come in large numbers or do not end. What exceeds a share is refused or
/// cut off by itself, so that the process does not end and take all other calls with it.
struct MemoryShares {
    /// Bodies of callers' requests, whole or in part, that are not answered yet.
    std::size_t requestBodies = 0;
    /// Bodies of attempts that wait for the local backend server or run there.
    std::size_t attemptBodies = 0;
    /// Bodies of the backend server's responses that were received in part.
    std::size_t responseBodies = 0;
    /// Responses that callers have not read yet.
    std::size_t unsentResponses = 0;

    /// Divides the memory of a process, in bytes.
    static MemoryShares of(std::size_t memoryBytes)
    {
        // A body is copied up to eight times on its way: parsed, sent on, encoded and written by each of the two nodes.
        constexpr std::size_t part = 16;
        const std::size_t share = memoryBytes / part;
        return { share, share, share, share };
    }
};

} // namespace Knapweedquay
