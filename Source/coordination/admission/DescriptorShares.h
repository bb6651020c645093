#pragma once

#include <algorithm>
#include <cstddef>

namespace Knapweedquay {

/// Bounds on the connections that a node accepts, as shares of the descriptors that its process may use.
///
/// Load pattern: callers that open connections without end. The rest of the descriptors is left for links, the backend server, the
/// control replicas, other interfaces and files, so that what was accepted is still served.
struct DescriptorShares {
    /// Connections of callers.
    std::size_t callers = 0;

    /// Divides the descriptors of a process.
    static DescriptorShares of(std::size_t descriptors)
    {
        // Files, other interfaces and the connections to the backend server need this many whatever the size of the deployment.
        constexpr std::size_t reserved = 200;
        // Links to and from other nodes.
        constexpr std::size_t linkPart = 4;
        const std::size_t shared = descriptors - std::min(descriptors, reserved);
        return { std::max<std::size_t>(1, shared - shared / linkPart) };
    }
};

} // namespace Knapweedquay
