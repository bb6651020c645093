#pragma once

#include "coordination/admission/BodyBudget.h"
#include "coordination/attempts/AnswerCache.h"

#include <cstddef>

namespace Knapweedquay {

/// Bounds on the bytes of requests and responses that a node holds, as shares of the memory that its process may use.
///
/// Load pattern: requests and responses that are large, come in large numbers or do not end. What exceeds a share is refused, waits
/// or is cut off by itself, so that the process does not end and take all other calls with it.
struct MemoryShares {
    /// Bodies of requests, of callers and of other nodes, that are not answered yet.
    BodyBudget::Limits requests;
    /// Bodies of responses, of the backend server and of other nodes, that their receivers have not read yet.
    BodyBudget::Limits responses;
    /// Small bodies of attempts that wait for the local backend server or run there.
    std::size_t attemptBodies = 0;
    /// Small responses that callers have not read yet.
    std::size_t unsentResponses = 0;

    /// Divides the memory of a process, in bytes.
    static MemoryShares of(std::size_t memoryBytes)
    {
        // Copies of a large body share its bytes. A small one is copied up to eight times on its way: parsed, sent on, encoded and
        // written by each of the two nodes.
        constexpr std::size_t largePart = 4;
        constexpr std::size_t smallPart = 16;
        // The answers that are kept for resends and for idempotency keys.
        constexpr std::size_t cachedBytes = 2 * defaultCachedAnswerBytes;
        const std::size_t small = memoryBytes / smallPart;
        const std::size_t large = memoryBytes / largePart;
        return { { small, large }, { small, large + cachedBytes }, small, small };
    }
};

} // namespace Knapweedquay
